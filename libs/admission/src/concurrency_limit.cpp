#include "lavenderhoist/admission/concurrency_limit.hpp"

#include <algorithm>

namespace lavenderhoist::admission {
namespace {

constexpr double cold_share = 0.25; // of the slots, for a target that has just started
constexpr double slow_start_factor = 2.0;
constexpr double shed_factor = 0.95;
constexpr double window_step = 1.0;

double cold_limit(int slots) {
    return std::max(1.0, slots * cold_share);
}

} // namespace

concurrency_limit::concurrency_limit(int slots) : slots_(slots), limit_(cold_limit(slots)) {}

void concurrency_limit::resize(int slots) noexcept {
    if (slots == slots_) {
        return;
    }
    const bool was_full = limit_ >= slots_;
    slots_ = slots;
    limit_ = was_full ? slots : std::min<double>(limit_, slots);
}

void concurrency_limit::restart() noexcept {
    limit_ = cold_limit(slots_);
    slow_start_ = true;
}

void concurrency_limit::assume_warm() noexcept {
    limit_ = slots_;
    slow_start_ = false;
}

void concurrency_limit::on_shed(int in_flight) noexcept {
    slow_start_ = false;
    if (shed_in_window_) {
        return;
    }
    shed_in_window_ = true;
    limit_ = std::clamp(in_flight * shed_factor, 1.0, limit_);
}

void concurrency_limit::on_finished(int in_flight) noexcept {
    peak_in_flight_ = std::max(peak_in_flight_, in_flight);
}

void concurrency_limit::on_window() noexcept {
    const bool was_used = peak_in_flight_ * 2 >= value();
    if (!shed_in_window_ && was_used) {
        limit_ = slow_start_ ? limit_ * slow_start_factor : limit_ + window_step;
        limit_ = std::min<double>(limit_, slots_);
    }
    shed_in_window_ = false;
    peak_in_flight_ = 0;
}

} // namespace lavenderhoist::admission
