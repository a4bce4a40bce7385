#include "lavenderhoist/admission/level_estimator.hpp"

#include <algorithm>

namespace lavenderhoist::admission {
namespace {

constexpr float memory_weight = 0.3F; // of the latest window in the remembered arrivals
constexpr float memory_decay = 0.95F; // per window, for priorities that callers hold back
constexpr float overfill = 1.05F;     // admits slightly more than the capacity, to keep slots full
constexpr float spare_share = 0.5F;   // of the spare capacity is opened in one window
constexpr priority idle_step = closed_level / 10; // per window without any arrival
constexpr float least_opening_share = 0.02F; // of the capacity is opened even when none is spare

} // namespace

void level_estimator::on_arrival(priority importance) noexcept {
    const auto index = std::clamp(importance, 0, closed_level - 1);
    arrivals_[static_cast<std::size_t>(index)] += 1;
    arrived_ += 1;
}

void level_estimator::on_window(const window& seen) noexcept {
    remember_arrivals();
    if (arrived_ == 0) {
        level_ = std::max(open_level, level_ - idle_step);
    } else if (seen.overloaded) {
        raise(seen);
    } else {
        lower(seen);
    }
    arrivals_.fill(0);
    arrived_ = 0;
}

void level_estimator::remember_arrivals() noexcept {
    for (std::size_t i = 0; i < remembered_.size(); ++i) {
        const bool held_back = static_cast<priority>(i) < level_ && arrivals_[i] == 0;
        if (held_back) {
            remembered_[i] *= memory_decay;
        } else {
            remembered_[i] += memory_weight * (arrivals_[i] - remembered_[i]);
        }
    }
}

void level_estimator::raise(const window& seen) noexcept {
    const float capacity = std::max(1.0F, static_cast<float>(seen.finished) * overfill);
    float admitted = 0;
    priority next = closed_level;
    while (next > open_level) {
        admitted += std::max(arrivals_[static_cast<std::size_t>(next - 1)],
                             remembered_[static_cast<std::size_t>(next - 1)]);
        if (admitted > capacity) {
            break;
        }
        --next;
    }
    level_ = std::min(next, closed_level - 1);
}

void level_estimator::lower(const window& seen) noexcept {
    const auto capacity = static_cast<float>(std::max(seen.capacity, seen.finished));
    const float spare = std::max(spare_share * (capacity - static_cast<float>(seen.finished)),
                                 least_opening_share * capacity);
    float opened = 0;
    while (level_ > open_level) {
        opened += remembered_[static_cast<std::size_t>(level_ - 1)];
        --level_;
        if (opened > spare) {
            break;
        }
    }
}

} // namespace lavenderhoist::admission
