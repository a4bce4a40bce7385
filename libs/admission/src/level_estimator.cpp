#include "lavenderhoist/admission/level_estimator.hpp"

#include <algorithm>
#include <cstdlib>

namespace lavenderhoist::admission {
namespace {

constexpr float estimate_weight = 0.1F; // of the latest window in the estimate of the demand

/** Factor per window on the estimated demand of a rank that callers throttle as a whole. */
constexpr float unobserved_decay = 0.95F;

/** Arrivals that exceed the estimate by this factor plus this margin replace it at once. */
constexpr float surge_factor = 2;
constexpr float surge_margin = 10;

/** The share of a rank's cohorts above the level from which its demand is extrapolated. */
constexpr float min_observed_share = 0.1F;
constexpr float overadmission = 1.05F; // admits slightly more than the capacity, to keep slots full

constexpr float spare_share = 0.5F;        // of the spare capacity is opened in one window
constexpr float open_rank_margin = 1.15F;  // factor on the capacity of a rank that is not throttled
constexpr float min_opening_share = 0.02F; // of the capacity is opened even when none is spare

/** Changes of the level above this bound take effect at once, others by a part in each window. */
constexpr priority max_smoothed_change = cohorts / 2;
constexpr priority smoothing_divisor = 3;
constexpr priority idle_step = closed_level / 10; // decrease per window without arrivals

/** Allows every rank to use the whole capacity. */
constexpr std::array<float, ranks> full_utilisation = [] {
    std::array<float, ranks> shares{};
    shares.fill(1);
    return shares;
}();

/** The share of a rank's cohorts at or above a level. */
float share_above(int rank, priority level) {
    const int below = std::clamp(level - rank * cohorts, 0, cohorts);
    return static_cast<float>(cohorts - below) / cohorts;
}

} // namespace

void level_estimator::on_arrival(priority importance) noexcept {
    ++all_arrivals_;
    if (importance < level_) {
        return; // its caller has not received the level yet; other callers throttle such requests
    }
    const auto rank = std::clamp(rank_of(importance), 0, ranks - 1);
    arrivals_[static_cast<std::size_t>(rank)] += 1;
}

void level_estimator::on_window(const window& seen) noexcept {
    estimate_demand();
    const auto possible = static_cast<float>(std::max({seen.finished, seen.capacity, 1}));
    const float capacity = std::min(possible, seen.max_capacity.value_or(possible));
    if (all_arrivals_ == 0) {
        level_ = std::max(open_level, level_ - idle_step);
    } else if (seen.overloaded) {
        // Based on the capacity, not on the requests finished: a level that is too high leaves
        // slots empty, so fewer requests finish, and the level would rise further.
        move_to(std::min(level_for(capacity, seen.max_utilisation), closed_level - 1));
    } else if (level_ > open_level) {
        const float spare = capacity - static_cast<float>(seen.finished);
        const float opened = std::max(spare * spare_share, capacity * min_opening_share);
        level_ = std::min(level_ - 1, level_for(demand_above(level_) + opened, full_utilisation));
    }
    arrivals_.fill(0);
    all_arrivals_ = 0;
}

void level_estimator::move_to(priority desired) noexcept {
    // Callers apply the minimum of the levels of several targets: the more the levels vary, the
    // lower it is.
    const bool is_large_change = std::abs(desired - level_) > max_smoothed_change;
    level_ = is_large_change ? desired : level_ + (desired - level_) / smoothing_divisor;
}

void level_estimator::estimate_demand() noexcept {
    for (int rank = 0; rank < ranks; ++rank) {
        estimate_rank(rank);
    }
}

void level_estimator::estimate_rank(int rank) noexcept {
    const auto index = static_cast<std::size_t>(rank);
    const float observed_share = share_above(rank, level_);
    if (observed_share < min_observed_share) {
        demand_[index] *= unobserved_decay;
        return;
    }
    const float latest = arrivals_[index] / observed_share;
    const bool is_surge = latest > demand_[index] * surge_factor + surge_margin;
    const float weight = is_surge ? 1 : estimate_weight;
    demand_[index] += weight * (latest - demand_[index]);
}

float level_estimator::demand_above(priority level) const noexcept {
    float total = 0;
    for (int rank = 0; rank < ranks; ++rank) {
        total += demand_[static_cast<std::size_t>(rank)] * share_above(rank, level);
    }
    return total;
}

priority
level_estimator::level_for(float capacity,
                           const std::array<float, ranks>& max_utilisation) const noexcept {
    float above = 0;
    for (int rank = ranks - 1; rank >= 0; --rank) {
        const auto index = static_cast<std::size_t>(rank);
        // An open rank is throttled only if the demand exceeds the capacity by a margin: the
        // estimate varies by some per cent.
        const float margin = level_ <= rank * cohorts ? open_rank_margin : 1;
        const float headroom = std::max(0.0F, capacity * max_utilisation[index] * margin - above);
        if (demand_[index] > headroom) {
            const auto fitting_cohorts = static_cast<int>(headroom / demand_[index] * cohorts);
            return (rank + 1) * cohorts - fitting_cohorts;
        }
        above += demand_[index];
    }
    return open_level;
}

} // namespace lavenderhoist::admission
