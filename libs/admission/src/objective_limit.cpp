#include "lavenderhoist/admission/objective_limit.hpp"

#include <algorithm>

namespace lavenderhoist::admission {
namespace {

/** Initial limit at a cold start, as a share of the slots: response times are not known yet. */
constexpr double cold_limit_share = 0.25;
constexpr double min_limit = 2;

/** The limit is lowered when more than this share of the requests is late. */
constexpr double max_late_share = 0.1;

/** The lowered limit, as a share of the number in flight. */
constexpr double decrease_factor = 0.85;

/** Increase per window, as a share of the limit. */
constexpr double increase_share = 0.05;

/** The same near the number in flight at which requests were last late, and in requests at least.
 */
constexpr double near_increase_share = 0.01;
constexpr double min_near_increase = 0.25;

/** The limit is near the number in flight at which requests were last late from this share of it.
 */
constexpr double min_near_share = 0.85;

/** Growth per window of the number in flight that counts as congested: its cause may have passed.
 */
constexpr double congested_growth = 1.01;

/** The limit is raised only if at least this share of it was in use. */
constexpr double min_used_share = 0.7;

/** Requests for an evaluation of the limit; after `max_evaluation_windows`, fewer suffice. */
constexpr int min_evaluated_requests = 20;
constexpr int min_late_requests = 2; // for a decrease of the limit
constexpr int max_evaluation_windows = 5;

} // namespace

objective_limit::objective_limit(int slots, bool cold) noexcept
    : slots_(std::max(1, slots)),
      limit_(std::max(min_limit, cold ? slots * cold_limit_share : slots)) {}

void objective_limit::on_start(std::uint64_t id, time_point now) {
    started_.emplace(id, now);
    peak_in_flight_ = std::max(peak_in_flight_, in_flight());
}

void objective_limit::on_end(std::uint64_t id, time_point now) {
    const auto found = started_.find(id);
    if (found == started_.end()) {
        return;
    }
    ++(objective_.count() > 0 && now - found->second > objective_ ? late_requests_
                                                                  : in_time_requests_);
    started_.erase(found);
}

void objective_limit::on_window(duration objective, time_point now) noexcept {
    objective_ = objective;
    ++windows_;
    congested_in_flight_ *= congested_growth;
    int overdue = 0;
    for (const auto& [id, started_at] : started_) {
        overdue += now - started_at > objective ? 1 : 0;
    }
    const int late = late_requests_ + overdue;
    const int evaluated = late + in_time_requests_;
    // A single late request among few is random variation.
    if (evaluated < min_evaluated_requests && windows_ < max_evaluation_windows) {
        return;
    }
    if (late >= min_late_requests && late > evaluated * max_late_share) {
        decrease();
    } else {
        increase();
    }
    windows_ = 0;
    in_time_requests_ = 0;
    late_requests_ = 0;
    peak_in_flight_ = in_flight();
}

void objective_limit::decrease() noexcept {
    // The requests in flight were started under the limit that applied before the last decrease.
    if (was_decreased_) {
        was_decreased_ = false;
        return;
    }
    congested_in_flight_ = std::min<double>(limit_, in_flight());
    limit_ = std::max(min_limit, congested_in_flight_ * decrease_factor);
    was_decreased_ = true;
}

void objective_limit::increase() noexcept {
    was_decreased_ = false;
    if (peak_in_flight_ < limit_ * min_used_share) {
        return;
    }
    const bool is_near =
        limit_ > congested_in_flight_ * min_near_share && limit_ < congested_in_flight_;
    const double step = is_near ? std::max(min_near_increase, limit_ * near_increase_share)
                                : std::max(1.0, limit_ * increase_share);
    limit_ = std::min<double>(slots_, limit_ + step * windows_);
}

void objective_limit::resize(int slots) noexcept {
    slots_ = std::max(1, slots);
    limit_ = std::min<double>(limit_, slots_);
}

} // namespace lavenderhoist::admission
