#include "lavenderhoist/quota/usage_board.hpp"

#include <utility>

namespace lavenderhoist::quota {

namespace {

/** Sources that have not reported for this long are forgotten: their usage has left the windows. */
constexpr duration source_lifetime = 4 * usage_window::length;

/** Organisations with less than this part of their burst left are listed. */
constexpr double listed_part = 0.75;

} // namespace

usage_board::usage_board(std::string data_centre, std::string node_id)
    : data_centre_(std::move(data_centre)), node_id_(std::move(node_id)) {}

void usage_board::on_report(const usage_report& report, time_point now) {
    if (report.is_data_centre && report.origin == data_centre_) {
        return; // its nodes report themselves
    }
    forget_silent_sources(now);
    auto& known = origins_[(report.is_data_centre ? "data centre " : "node ") + report.origin];
    const bool is_known_origin = !known.empty();
    const bool is_known_source = known.contains(report.source);
    auto& last = known[report.source];
    last.reported_at = now;
    for (const auto& [name, counts] : report.organisations) {
        const auto [total, is_new] = last.totals.try_emplace(name, counts.total);
        // What another source has counted of this origin is in the window already.
        const bool is_counted_elsewhere = is_known_origin && !is_known_source;
        const auto first = is_counted_elsewhere ? usage{} : counts.recent;
        const auto news = is_new ? first : counts.total - total->second;
        total->second = counts.total;
        if (news == usage{}) {
            continue;
        }
        auto& organisation = organisations_[name];
        organisation.all.add(news, now);
        if (!report.is_data_centre) {
            organisation.local.add(news, now);
            organisation.local_total += news;
        }
    }
}

void usage_board::forget_silent_sources(time_point now) {
    for (auto& [origin, known] : origins_) {
        std::erase_if(known, [now](const auto& entry) {
            return now - entry.second.reported_at > source_lifetime;
        });
    }
    std::erase_if(origins_, [](const auto& entry) { return entry.second.empty(); });
}

usage_report usage_board::data_centre_report(time_point now) const {
    usage_report report{data_centre_, node_id_, true, {}};
    for (const auto& [name, each] : organisations_) {
        const auto recent = each.local.sum(now);
        if (recent.asked > 0) {
            report.organisations.emplace(name, usage_report::counts{each.local_total, recent});
        }
    }
    return report;
}

allowances usage_board::find_allowances(const quota_finder& find_quota, time_point now) const {
    allowances found;
    for (const auto& [name, each] : organisations_) {
        const auto quota = find_quota(name);
        if (!quota) {
            continue;
        }
        const allowance present{each.all.admission_share(*quota, now),
                                each.all.tokens(*quota, now)};
        if (present.share < 1 || present.left < listed_part * quota->burst) {
            found.emplace(name, present);
        }
    }
    return found;
}

} // namespace lavenderhoist::quota
