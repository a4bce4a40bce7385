#include "lavenderhoist/admission/ramp_up.hpp"

#include <algorithm>

namespace lavenderhoist::admission {
namespace {

constexpr double initial_share = 0.25; // of the slots

/** Rise with each answer. The limit grows by half within one service time, in which the answers
 * cannot yet show the effect of the growth; a higher value would exceed the tolerated growth. */
constexpr double increase_per_answer = 0.5;

/** Rise in a round after response times have grown, in requests and as a share of the slots. */
constexpr double min_slow_increase = 1;
constexpr double slow_increase_share = 0.02;

/** Growth of the response time up to which the limit still rises, and above which it falls. Means
 * of a round vary by about an eighth when single times vary by half. */
constexpr double tolerated_growth = 1.25;
constexpr double max_growth = 1.5;

/** A response time below this share of the reference shows that the cold phase has ended. */
constexpr double warm_share = 0.7;

/** The limit falls to this multiple of the number in flight that the growth implies. */
constexpr double decrease_margin = 1.1;

/** Answers in a round: a part of the limit, so that a growth is seen before the limit doubles. */
constexpr int min_round_size = 16;
constexpr int round_divisor = 4;

} // namespace

std::string_view to_string(ramp_up::phase phase) noexcept {
    switch (phase) {
    case ramp_up::phase::rising:
        return "rising";
    case ramp_up::phase::holding:
        return "holding";
    case ramp_up::phase::done:
        break;
    }
    return "done";
}

void ramp_up::restart(int slots) noexcept {
    phase_ = phase::rising;
    slots_ = std::max(1, slots);
    limit_ = std::max(1.0, slots_ * initial_share);
    reference_time_ = 0;
    time_sum_ = 0;
    answers_ = 0;
    ignored_answers_ = 0;
    answers_at_full_limit_ = 0;
    congested_time_ = 0;
    congested_limit_ = 0;
}

void ramp_up::resize(int slots) noexcept {
    slots_ = std::max(1, slots);
    limit_ = std::min<double>(limit_, slots_);
}

int ramp_up::round_size() const noexcept {
    return std::max(min_round_size, static_cast<int>(limit_) / round_divisor);
}

void ramp_up::on_answered(duration time_in_slot, int in_flight) noexcept {
    if (is_done()) {
        return;
    }
    if (ignored_answers_ > 0) {
        --ignored_answers_;
        return;
    }
    time_sum_ += std::chrono::duration<double>(time_in_slot).count();
    ++answers_;
    const bool is_used = in_flight * 2 >= static_cast<int>(limit_);
    if (phase_ == phase::rising && is_used) {
        limit_ = std::min<double>(slots_, limit_ + increase_per_answer);
    }
    if (answers_ >= round_size()) {
        end_round(in_flight);
    }
    // The growth that a full limit causes is seen only in the answers to requests started under it.
    answers_at_full_limit_ = limit_ >= slots_ ? answers_at_full_limit_ + 1 : 0;
    if (answers_at_full_limit_ > 2 * slots_) {
        finish();
    }
}

void ramp_up::accept_time(double mean_time) noexcept {
    reference_time_ = mean_time;
    congested_time_ = 0;
    phase_ = phase::rising;
}

void ramp_up::end_round(int in_flight) noexcept {
    const double mean_time = time_sum_ / answers_;
    time_sum_ = 0;
    answers_ = 0;
    if (reference_time_ <= 0 || mean_time < reference_time_ * warm_share) {
        accept_time(mean_time);
        return;
    }
    if (congested_time_ > 0) {
        // Half of the fall that a time in proportion to the limit would show.
        const double explained = congested_time_ * (1 + limit_ / congested_limit_) / 2;
        congested_time_ = 0;
        if (mean_time > explained) {
            accept_time(mean_time);
            return;
        }
    }
    if (mean_time > reference_time_ * max_growth) {
        decrease(mean_time, in_flight);
        return;
    }
    const bool is_used = in_flight * 2 >= static_cast<int>(limit_);
    if (phase_ == phase::holding && is_used && mean_time < reference_time_ * tolerated_growth) {
        limit_ = std::min<double>(
            slots_, limit_ + std::max(min_slow_increase, slots_ * slow_increase_share));
    }
}

void ramp_up::decrease(double mean_time, int in_flight) noexcept {
    const double floor = std::max(1.0, slots_ * initial_share);
    const double in_use = std::min<double>(limit_, in_flight);
    const double implied = in_use * reference_time_ / mean_time * decrease_margin;
    if (limit_ <= floor) {
        accept_time(mean_time); // not caused by the limit, which cannot fall further
        return;
    }
    congested_time_ = mean_time;
    congested_limit_ = limit_;
    limit_ = std::clamp(implied, floor, limit_);
    ignored_answers_ = in_flight;
    phase_ = phase::holding;
}

} // namespace lavenderhoist::admission
