#include "lavenderhoist/admission/concurrency_limit.hpp"

#include <algorithm>

namespace lavenderhoist::admission {
namespace {

constexpr double cold_share = 0.25; // of the slots, for a target that has just started
constexpr double slow_start_factor = 2.0;
constexpr double shed_factor = 0.95;
constexpr double window_step = 1.0;
constexpr double window_growth = 0.02; // of the slots, if that is more than the step

/** A target that lacks slots sheds little once the limit is lowered. One that goes on shedding this
 * share for so many windows fails for another reason, and a lower limit only wastes its slots. */
constexpr double faulty_share = 0.2;
constexpr int faulty_windows = 3;

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
    ++sheds_;
    if (sheds_ > 1 || is_faulty()) {
        return;
    }
    limit_ = std::clamp(in_flight * shed_factor, 1.0, limit_);
}

void concurrency_limit::on_finished(int in_flight) noexcept {
    peak_in_flight_ = std::max(peak_in_flight_, in_flight);
}

bool concurrency_limit::is_faulty() const noexcept {
    return shedding_windows_ >= faulty_windows;
}

void concurrency_limit::on_window() noexcept {
    const bool sheds_much = sheds_ > 0 && sheds_ > ended_ * faulty_share;
    shedding_windows_ = sheds_much ? shedding_windows_ + 1 : 0;
    const bool was_used = peak_in_flight_ * 2 >= value();
    if ((sheds_ == 0 || is_faulty()) && was_used) {
        const double step = std::max(window_step, slots_ * window_growth);
        limit_ = slow_start_ ? limit_ * slow_start_factor : limit_ + step;
        limit_ = std::min<double>(limit_, slots_);
    }
    sheds_ = 0;
    ended_ = 0;
    peak_in_flight_ = 0;
}

} // namespace lavenderhoist::admission
