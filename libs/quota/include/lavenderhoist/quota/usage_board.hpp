#pragma once

#include "lavenderhoist/core/clock.hpp"
#include "lavenderhoist/quota/rate_quota.hpp"
#include "lavenderhoist/quota/usage_report.hpp"
#include "lavenderhoist/quota/usage_window.hpp"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace lavenderhoist::quota {

/**
 * \brief Adds up the usage that the nodes of a data centre report, and that of the other data
 * centres, and finds what may be admitted of each organisation's requests.
 *
 * Each report is counted once, also if it is repeated, and whoever counted for its origin before.
 * A pure state machine.
 */
class usage_board {
public:
    /** \param data_centre the local one. \param node_id names the source of its reports. */
    usage_board(std::string data_centre, std::string node_id);

    void on_report(const usage_report& report, time_point now);

    /** \brief The usage that the nodes of the local data centre have reported. */
    usage_report data_centre_report(time_point now) const;

    using quota_finder = std::function<std::optional<rate_quota>(std::string_view organisation)>;

    /** \brief The allowances of the organisations that have used up a good part of their quotas. */
    allowances find_allowances(const quota_finder& find_quota, time_point now) const;

private:
    /** The last report of a source. */
    struct source_state {
        std::map<std::string, usage, std::less<>> totals; ///< By organisation.
        time_point reported_at;
    };
    using sources = std::map<std::string, source_state, std::less<>>;

    struct organisation_state {
        usage_window all;
        usage_window local; ///< Of the local data centre.
        usage local_total;
    };

    void forget_silent_sources(time_point now);

    std::string data_centre_;
    std::string node_id_;
    std::map<std::string, sources, std::less<>> origins_; ///< Nodes, and other data centres.
    std::map<std::string, organisation_state, std::less<>> organisations_;
};

} // namespace lavenderhoist::quota
