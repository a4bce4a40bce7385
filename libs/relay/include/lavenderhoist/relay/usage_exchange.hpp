#pragma once

#include "lavenderhoist/quota/quota_gate.hpp"
#include "lavenderhoist/quota/usage_board.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace lavenderhoist::relay {

/**
 * \brief Exchanges the usage of organisations with other nodes, so that their quotas hold for all
 * nodes together.
 *
 * One node of each data centre collects the reports of the others, and exchanges sums with those of
 * the other data centres. Any node answers reports as if it were that one.
 *
 * Not thread-safe: used on the data thread.
 */
class usage_exchange {
public:
    usage_exchange(const std::string& data_centre, const std::string& node_id,
                   quota::quota_gate& gate, quota::usage_board::quota_finder find_quota);

    /** \brief The report of this node, for the one that collects them. */
    std::string local_report() const;

    /** \brief Adds the usage of this node, which collects the reports of its data centre, and
     * applies the allowances found. \returns the report of the data centre, for the others'. */
    std::string collect_local();

    /** \brief Takes the report of another node.
     * \returns the answer: allowances for a node, a report for a data centre; nothing if malformed.
     */
    std::optional<std::string> on_report(std::string_view text);

    /** \brief Applies the answer to the local report. \returns false if it is malformed. */
    bool apply_allowances(std::string_view text);

private:
    void apply(quota::allowances found);

    quota::quota_gate& gate_;
    quota::usage_board board_;
    quota::usage_board::quota_finder find_quota_;
    bool has_limited_{false}; ///< As the last log line says.
    time_point logged_at_{};
};

} // namespace lavenderhoist::relay
