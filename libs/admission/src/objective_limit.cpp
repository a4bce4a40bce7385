#include "lavenderhoist/admission/objective_limit.hpp"

#include <algorithm>

namespace lavenderhoist::admission {
namespace {

constexpr double cold_share = 0.25; // of the slots, before anything is known of the time they take
constexpr double least_limit = 2;
constexpr double late_share = 0.1;   // of requests that may be late
constexpr double lowering = 0.85;    // of what is in flight, when more are late
constexpr double growth = 0.05;      // a window
constexpr double near_growth = 0.01; // a window, near the limit at which requests were late
constexpr double least_near_step = 0.25;
constexpr double near_from = 0.85;  // of that limit
constexpr double forgetting = 1.01; // a window: what was too much may not be for ever
constexpr double used_share = 0.7;  // of the limit must be in use for it to grow
constexpr int least_seen = 20;      // requests, to judge by
constexpr int least_late = 2;       // requests
constexpr int most_windows = 5;     // after which fewer will do

} // namespace

objective_limit::objective_limit(int slots, bool cold) noexcept
    : slots_(std::max(1, slots)),
      limit_(std::max(least_limit, cold ? slots * cold_share : slots)) {}

void objective_limit::on_start(std::uint64_t id, time_point now) {
    started_.emplace(id, now);
    peak_ = std::max(peak_, in_flight());
}

void objective_limit::on_end(std::uint64_t id, time_point now) {
    const auto found = started_.find(id);
    if (found == started_.end()) {
        return;
    }
    ++(goal_.count() > 0 && now - found->second > goal_ ? late_ : in_time_);
    started_.erase(found);
}

void objective_limit::on_window(duration goal, time_point now) noexcept {
    goal_ = goal;
    ++windows_;
    congested_at_ *= forgetting;
    int overdue = 0;
    for (const auto& [id, since] : started_) {
        overdue += now - since > goal ? 1 : 0;
    }
    const int late = late_ + overdue;
    const int seen = late + in_time_;
    // One late request of a few is chance.
    if (seen < least_seen && windows_ < most_windows) {
        return;
    }
    if (late >= least_late && late > seen * late_share) {
        lower();
    } else {
        grow();
    }
    windows_ = 0;
    in_time_ = 0;
    late_ = 0;
    peak_ = in_flight();
}

void objective_limit::lower() noexcept {
    // What is in flight still shows the limit before for a while.
    if (lowered_) {
        lowered_ = false;
        return;
    }
    congested_at_ = std::min<double>(limit_, in_flight());
    limit_ = std::max(least_limit, congested_at_ * lowering);
    lowered_ = true;
}

void objective_limit::grow() noexcept {
    lowered_ = false;
    if (peak_ < limit_ * used_share) {
        return;
    }
    const bool is_near = limit_ > congested_at_ * near_from && limit_ < congested_at_;
    const double step =
        is_near ? std::max(least_near_step, limit_ * near_growth) : std::max(1.0, limit_ * growth);
    limit_ = std::min<double>(slots_, limit_ + step * windows_);
}

void objective_limit::resize(int slots) noexcept {
    slots_ = std::max(1, slots);
    limit_ = std::min<double>(limit_, slots_);
}

} // namespace lavenderhoist::admission
