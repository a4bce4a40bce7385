#pragma once

#include "lavenderhoist/core/clock.hpp"
#include "lavenderhoist/mesh/host_record.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lavenderhoist::agent {

/**
 * \brief Decides whether this node reads the record store or learns of changes from another node.
 *
 * If every node waited for changes at the store, its calls would grow with the number of nodes
 * times the number of changes. So two nodes of each data centre read it, those that come first in a
 * fixed order, and the others compare their versions with these. A node that does not respond, or
 * has lost the store, is passed over until it responds again; the next ones in the order take its
 * place.
 *
 * A pure state machine.
 */
class store_readers {
public:
    static constexpr std::size_t readers_per_data_centre = 2;

    store_readers(std::string node_id, std::string data_centre);

    /** \brief Replaces the known hosts. What is known of the nodes that remain is kept. */
    void set_hosts(std::span<const mesh::host_record> hosts);

    /** \brief True if this node reads the store. */
    bool is_reader() const noexcept;

    /** \brief True if this node would be a reader if all nodes responded and had the store. */
    bool is_first_choice() const noexcept;

    /** \brief True if this node is a reader and no reader of its data centre comes before it. */
    bool is_first_reader() const noexcept;

    /** \brief The node to compare versions with next; nothing if no reader comes before this node
     * and no other one is to be tried again. */
    std::optional<std::string> next_node(time_point now);

    /** \brief A node has responded. \param reads_store false if it does not read the store, or has
     * lost it. */
    void on_response(std::string_view node, bool reads_store, time_point now);

    void on_no_response(std::string_view node, time_point now);

private:
    /** A node of the local data centre that comes before this one in the order. */
    struct preceding_node {
        std::uint64_t order;
        std::string id;
        int failures{0};       ///< In a row; passed over while it is above 0.
        time_point retry_at{}; ///< When a node that is passed over is tried again.
    };

    preceding_node* find(std::string_view node) noexcept;
    void on_failure(std::string_view node, duration first_delay, time_point now);

    std::string node_id_;
    std::string data_centre_;
    std::vector<preceding_node> preceding_; ///< In their order.
    std::size_t turn_{0};
};

} // namespace lavenderhoist::agent
