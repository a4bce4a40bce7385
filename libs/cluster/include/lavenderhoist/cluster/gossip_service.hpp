#pragma once

#include "lavenderhoist/cluster/peer_client.hpp"
#include "lavenderhoist/membership/member_list.hpp"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <vector>

namespace lavenderhoist::node {

/**
 * \brief Runs the membership protocol over control streams: probes, dissemination of membership
 * changes, joining. Lives on the control thread.
 */
class gossip_service {
public:
    /** \brief Callbacks into the rest of the control thread. */
    struct hooks {
        std::function<void()> members_changed;
        std::function<std::uint64_t()> records_digest;
        /** The digest of the peer at this address differs from the local records. */
        std::function<void(std::string address)> records_differ;
        /** Control addresses to join through when no member is known. */
        std::function<std::vector<std::string>()> contacts;
        /** Difference between a peer's and the local wall clock, less what the round trip can
         * explain. */
        std::function<void(std::string peer, milliseconds difference)> clock_compared;
    };

    gossip_service(boost::asio::any_io_executor executor, peer_client& peers,
                   membership::member self, hooks callbacks, std::uint64_t seed);

    boost::asio::awaitable<void> run();

    /** \brief Sends the latest changes to several members at once instead of at the next round. */
    void spread();

    /** \brief Merges a gossip message and makes the answer. \returns an empty string if it is
     * malformed. */
    std::string answer(std::string_view body);

    /** \brief Merges member entries that a peer found missing here. */
    void accept_repair(std::string_view body);

    /** \brief Probes a member on behalf of another node. \returns true if it answered. */
    boost::asio::awaitable<bool> probe_for(std::string id);

    membership::member_list& members() noexcept { return members_; }
    const membership::member_list& members() const noexcept { return members_; }

private:
    boost::asio::awaitable<void> run_once();
    boost::asio::awaitable<void> probe(membership::member target);
    boost::asio::awaitable<bool> exchange(std::string address);
    boost::asio::awaitable<void> join();
    void merge_members(const membership::gossip_message& received);

    boost::asio::any_io_executor executor_;
    peer_client& peers_;
    hooks hooks_;
    membership::member_list members_;
    std::mt19937_64 random_;
    std::uint64_t rounds_{0};
};

} // namespace lavenderhoist::node
