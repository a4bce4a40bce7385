#include "lavenderhoist/quota/quota_gate.hpp"

#include "lavenderhoist/core/hash.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace lavenderhoist::quota {

namespace {

/** Until the next word, a node admits its part of what is left and so many standard deviations of
 * a number of requests with that mean, since single arrivals vary; at most so many requests and
 * parts. A part of many requests has room for the variation of a usual demand. */
constexpr double variations = 2;
constexpr double max_variation = 3;
constexpr double max_parts_of_left = 4;

/** Without recent word, a node admits this many times its part of the quota. */
constexpr double parts_of_quota = 2;

/** A node that has admitted more than its part goes on at up to `max_growth` times its rate in
 * `usual_time`. */
constexpr double max_growth = 1.5;
constexpr duration usual_time = std::chrono::seconds(1);

double in_seconds(duration length) noexcept {
    return std::chrono::duration<double>(length).count();
}

} // namespace

quota_gate::quota_gate(std::string node_id, std::uint64_t start)
    : node_id_(std::move(node_id)), source_(node_id_ + ' ' + std::to_string(start)) {}

bool quota_gate::try_admit(const std::string& organisation, const rate_quota& quota,
                           std::uint64_t request, time_point now) {
    auto& known = organisations_[organisation];
    const usage arrival{1, 0};
    known.recent.add(arrival, now);
    known.total += arrival;
    const auto point = static_cast<double>(mix(request)) /
                       static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    if (!may_admit(organisation, quota, known, point, now)) {
        return false;
    }
    const usage admission{0, 1};
    known.recent.add(admission, now);
    known.total += admission;
    ++known.admitted_since_word;
    return true;
}

void quota_gate::on_not_run(std::string_view organisation, time_point now) {
    const auto found = organisations_.find(organisation);
    if (found == organisations_.end()) {
        return;
    }
    const usage withdrawn{0, -1};
    found->second.recent.add(withdrawn, now);
    found->second.total += withdrawn;
}

bool quota_gate::has_recent_word(time_point now) const noexcept {
    return word_at_ != time_point{} && now - word_at_ <= allowance_lifetime;
}

bool quota_gate::may_admit(const std::string& organisation, const rate_quota& quota,
                           const organisation_state& known, double point, time_point now) const {
    const auto part_of = [this](double times) {
        return std::min(1.0, times / static_cast<double>(nodes_));
    };
    if (!has_recent_word(now)) {
        const auto window = in_seconds(usage_window::length);
        const auto allowed = part_of(parts_of_quota) * (quota.per_second * window + quota.burst);
        return static_cast<double>(known.recent.sum(now).admitted) < 1 + allowed;
    }
    const auto found = allowances_.find(organisation);
    const bool is_listed = found != allowances_.end();
    if (is_listed && point >= found->second.share) {
        return false;
    }
    const auto since_word = in_seconds(now - word_at_);
    const auto left = (is_listed ? std::max(0.0, found->second.left) : quota.burst) +
                      quota.per_second * since_word;
    const auto usual_rate =
        static_cast<double>(known.recent.sum(now, usual_time).admitted) / in_seconds(usual_time);
    // Organisations don't use all nodes alike: the share of the quota that went through this node
    // is its part. These shares add up to about one, and so do the equal ones: all nodes together
    // admit what is left at most twice, whatever the demand rises to.
    const auto window_quota = quota.per_second * in_seconds(usage_window::length);
    const auto own_part =
        window_quota > 0 ? static_cast<double>(known.recent.sum(now).admitted) / window_quota : 0;
    const auto expected = std::max(part_of(1), own_part) * left;
    const auto varying =
        std::min(expected + std::min(max_variation, variations * std::sqrt(expected)),
                 max_parts_of_left * expected);
    const auto allowed = std::max(varying, max_growth * usual_rate * since_word);
    return static_cast<double>(known.admitted_since_word) < 1 + allowed;
}

void quota_gate::set_allowances(allowances found, time_point now) {
    allowances_ = std::move(found);
    word_at_ = now;
    for (auto& [name, each] : organisations_) {
        each.admitted_since_word = 0;
    }
}

usage_report quota_gate::report(time_point now) const {
    usage_report report{node_id_, source_, false, {}};
    for (const auto& [name, each] : organisations_) {
        const auto recent = each.recent.sum(now);
        if (recent.asked > 0) {
            report.organisations.emplace(
                name, usage_report::counts{
                          each.total, {recent.asked, std::max<std::int64_t>(0, recent.admitted)}});
        }
    }
    return report;
}

} // namespace lavenderhoist::quota
