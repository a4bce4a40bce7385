#pragma once

#include "lavenderhoist/core/clock.hpp"
#include "lavenderhoist/quota/rate_quota.hpp"
#include "lavenderhoist/quota/usage_report.hpp"
#include "lavenderhoist/quota/usage_window.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace lavenderhoist::quota {

/**
 * \brief Admits the requests of organisations at one node within quotas that hold for all nodes
 * together, and counts them.
 *
 * What may be admitted of an organisation's requests is found from the counts of all nodes
 * (usage_board). Until the next word of that, the node admits its own part of what is left: an
 * equal one, or the share of the quota that it has admitted lately if that is more. So a sudden
 * rise of demand at all nodes, to any multiple, goes little beyond the quota.
 *
 * A pure state machine.
 */
class quota_gate {
public:
    /** Allowances are not relied on for longer than this. */
    static constexpr duration allowance_lifetime = std::chrono::seconds(2);

    /** \param node_id \param start differs between starts of the node. */
    quota_gate(std::string node_id, std::uint64_t start);

    /**
     * \brief Decides about a request that has arrived.
     * \param request any value that is spread evenly over requests, such as a hash.
     */
    bool try_admit(const std::string& organisation, const rate_quota& quota, std::uint64_t request,
                   time_point now);

    /** \brief A request that was admitted has not run and won't: it counts no longer. */
    void on_not_run(std::string_view organisation, time_point now);

    /** \brief Replaces the allowances. Of organisations that aren't listed, nothing is used up. */
    void set_allowances(allowances found, time_point now);

    /** \brief Sets the number of nodes of the deployment, this one included; at least 1. */
    void set_nodes(std::size_t nodes) noexcept { nodes_ = nodes; }

    usage_report report(time_point now) const;

private:
    struct organisation_state {
        usage_window recent;
        usage total;
        std::int64_t admitted_since_word{0};
    };

    bool may_admit(const std::string& organisation, const rate_quota& quota,
                   const organisation_state& known, double point, time_point now) const;
    bool has_recent_word(time_point now) const noexcept;

    std::string node_id_;
    std::string source_;
    std::size_t nodes_{1};
    allowances allowances_;
    time_point word_at_{}; ///< When the allowances were set; zero if they were not.
    std::map<std::string, organisation_state, std::less<>> organisations_;
};

} // namespace lavenderhoist::quota
