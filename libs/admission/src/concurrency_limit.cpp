#include "lavenderhoist/admission/concurrency_limit.hpp"

#include <algorithm>

namespace lavenderhoist::admission {
namespace {

constexpr double decrease_factor = 0.95; // of the number in flight, when the target sheds
constexpr double min_increase = 1.0;     // requests a window
constexpr double increase_share = 0.02;  // of the slots a window, if above the minimum

/** A target that sheds while less than this share of its limit is in use doesn't lack slots. */
constexpr double min_full_share = 0.5;

/** A target that lacks slots sheds few requests once the limit is lowered. One that still sheds
 * more than this share in this many consecutive windows fails for another reason, and a lower limit
 * only leaves its slots unused. */
constexpr double min_faulty_share = 0.2;
constexpr int min_faulty_windows = 3;

} // namespace

concurrency_limit::concurrency_limit(int slots) : slots_(slots), limit_(1), ramp_(slots) {
    limit_ = ramp_.limit();
}

void concurrency_limit::resize(int slots) noexcept {
    if (slots == slots_) {
        return;
    }
    const bool was_full = limit_ >= slots_;
    slots_ = slots;
    ramp_.resize(slots);
    limit_ = was_full && ramp_.is_done() ? slots : std::min<double>(limit_, slots);
}

void concurrency_limit::restart() noexcept {
    ramp_.restart(slots_);
    limit_ = ramp_.limit();
}

void concurrency_limit::assume_warm() noexcept {
    limit_ = slots_;
    ramp_.finish();
}

void concurrency_limit::on_shed(int in_flight) noexcept {
    ramp_.finish();
    ++shed_requests_;
    const bool has_free_slots = in_flight < limit_ * min_full_share;
    if (shed_requests_ > 1 || has_free_slots || is_faulty()) {
        return;
    }
    limit_ = std::clamp(in_flight * decrease_factor, 1.0, limit_);
}

void concurrency_limit::on_answered(duration time_in_slot, int in_flight) noexcept {
    if (ramp_.is_done()) {
        return;
    }
    ramp_.on_answered(time_in_slot, in_flight);
    limit_ = ramp_.limit();
}

void concurrency_limit::record_in_flight(int in_flight) noexcept {
    peak_in_flight_ = std::max(peak_in_flight_, in_flight);
}

bool concurrency_limit::is_faulty() const noexcept {
    return shedding_windows_ >= min_faulty_windows;
}

void concurrency_limit::on_window() noexcept {
    const bool is_shed_share_high =
        shed_requests_ > 0 && shed_requests_ > ended_requests_ * min_faulty_share;
    shedding_windows_ = is_shed_share_high ? shedding_windows_ + 1 : 0;
    const bool was_used = peak_in_flight_ * 2 >= value();
    if ((shed_requests_ == 0 || is_faulty()) && was_used && ramp_.is_done()) {
        const double increase = std::max(min_increase, slots_ * increase_share);
        limit_ = std::min<double>(limit_ + increase, slots_);
    }
    shed_requests_ = 0;
    ended_requests_ = 0;
    peak_in_flight_ = 0;
}

} // namespace lavenderhoist::admission
