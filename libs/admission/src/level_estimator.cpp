#include "lavenderhoist/admission/level_estimator.hpp"

#include <algorithm>
#include <cstdlib>

namespace lavenderhoist::admission {
namespace {

constexpr float estimate_weight = 0.1F;  // of the latest window
constexpr float unseen_decay = 0.95F;    // per window, for a rank that is held back as a whole
constexpr float surge_factor = 2;        // a window this much above the estimate replaces it...
constexpr float surge_margin = 10;       // ...if it is above it by so many arrivals, too
constexpr float least_seen_share = 0.1F; // of a rank's cohorts, to extrapolate from
constexpr float overfill = 1.05F;   // admits slightly more than the capacity, to keep slots full
constexpr float spare_share = 0.5F; // of the spare capacity is opened in one window
constexpr float open_rank_margin = 1.15F;
constexpr float least_opening_share = 0.02F; // of the capacity is opened even when none is spare
constexpr priority jump = cohorts / 2;       // larger changes take effect at once
constexpr priority smoothing_divisor = 3;
constexpr priority idle_step = closed_level / 10; // per window without any arrival

/** Lets every rank fill the capacity. */
constexpr std::array<float, ranks> whole = [] {
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
    ++arrived_;
    if (importance < level_) {
        return; // some caller has not heard of the level; the others hold back
    }
    const auto rank = std::clamp(rank_of(importance), 0, ranks - 1);
    arrivals_[static_cast<std::size_t>(rank)] += 1;
}

void level_estimator::on_window(const window& seen) noexcept {
    estimate_demand();
    const auto capacity = static_cast<float>(std::max({seen.finished, seen.capacity, 1}));
    if (arrived_ == 0) {
        level_ = std::max(open_level, level_ - idle_step);
    } else if (seen.overloaded) {
        // Measured by the capacity, not by what was finished: a level that is too high leaves slots
        // empty and would drive itself up.
        move_to(std::min(level_for(capacity, seen.fill), closed_level - 1));
    } else if (level_ > open_level) {
        const float spare = capacity - static_cast<float>(seen.finished);
        const float opened = std::max(spare * spare_share, capacity * least_opening_share);
        level_ = std::min(level_ - 1, level_for(demand_above(level_) + opened, whole));
    }
    arrivals_.fill(0);
    arrived_ = 0;
}

void level_estimator::move_to(priority wanted) noexcept {
    // Callers go by the lowest level of several targets, which lies the lower the more levels move.
    const bool is_jump = std::abs(wanted - level_) > jump;
    level_ = is_jump ? wanted : level_ + (wanted - level_) / smoothing_divisor;
}

void level_estimator::estimate_demand() noexcept {
    for (int rank = 0; rank < ranks; ++rank) {
        estimate_rank(rank);
    }
}

void level_estimator::estimate_rank(int rank) noexcept {
    const auto index = static_cast<std::size_t>(rank);
    const float seen_share = share_above(rank, level_);
    if (seen_share < least_seen_share) {
        demand_[index] *= unseen_decay;
        return;
    }
    const float latest = arrivals_[index] / seen_share;
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

priority level_estimator::level_for(float capacity,
                                    const std::array<float, ranks>& fill) const noexcept {
    float above = 0;
    for (int rank = ranks - 1; rank >= 0; --rank) {
        const auto index = static_cast<std::size_t>(rank);
        // A rank that is open is closed only for a clear reason: the estimate varies by some per
        // cent.
        const float margin = level_ <= rank * cohorts ? open_rank_margin : 1;
        const float room = std::max(0.0F, capacity * fill[index] * margin - above);
        if (demand_[index] > room) {
            const auto fitting = static_cast<int>(room / demand_[index] * cohorts);
            return (rank + 1) * cohorts - fitting;
        }
        above += demand_[index];
    }
    return open_level;
}

} // namespace lavenderhoist::admission
