#include "lavenderhoist/admission/utilisation_tuner.hpp"

#include <algorithm>
#include <cmath>

namespace lavenderhoist::admission {
namespace {

/** With fewer slots, the shares would differ by less than one slot. */
constexpr int min_slots = 16;

/** Windows of a tenth of a second. The first ones are not measured: requests end in them that were
 * started at the previous share. */
constexpr int settling_windows = 3;
constexpr int measured_windows = 10;

/** The trial of a share that is clearly worse ends early, as it costs throughput. */
constexpr int min_measured_windows = 4;
constexpr double clearly_worse_ratio = 0.9;

/** Relative gain in throughput for which the share is changed: the random variation for the number
 * of finished requests, and at least this value. */
constexpr double min_gain = 0.03;

/** Half a minute between series of trials: trials cost throughput, and a target seldom changes its
 * behaviour unless it is replaced. */
constexpr int trial_interval_windows = 300;

} // namespace

int utilisation_tuner::limit(int slots) const noexcept {
    if (slots < min_slots) {
        return slots;
    }
    const bool is_trying = trial_ < shares.size() && paused_windows_ == 0;
    return static_cast<int>(slots * shares.at(is_trying ? trial_ : best_));
}

void utilisation_tuner::pause(int windows) noexcept {
    paused_windows_ = windows;
    rates_ = {};
    trial_ = 0;
    windows_ = 0;
    finished_ = 0;
}

double utilisation_tuner::rate() const noexcept {
    return static_cast<double>(finished_) / std::max(1, windows_ - settling_windows);
}

bool utilisation_tuner::is_clearly_worse() const noexcept {
    const double best = *std::ranges::max_element(rates_);
    return windows_ >= settling_windows + min_measured_windows &&
           rate() < best * clearly_worse_ratio;
}

void utilisation_tuner::on_window(int finished, bool saturated) noexcept {
    if (paused_windows_ > 0) {
        --paused_windows_;
        return;
    }
    if (!saturated) {
        if (trial_ < shares.size()) {
            windows_ = 0; // restart this trial
            finished_ = 0;
        }
        return;
    }
    ++windows_;
    if (trial_ == shares.size()) {
        if (windows_ >= trial_interval_windows) {
            rates_ = {};
            trial_ = 0;
            windows_ = 0;
        }
        return;
    }
    if (windows_ <= settling_windows) {
        return;
    }
    finished_ += finished;
    if (windows_ >= settling_windows + measured_windows || is_clearly_worse()) {
        finish_trial();
    }
}

void utilisation_tuner::finish_trial() noexcept {
    rates_.at(trial_) = rate();
    finished_ = 0;
    windows_ = 0;
    if (++trial_ < shares.size()) {
        return;
    }
    const auto fastest =
        static_cast<std::size_t>(std::ranges::max_element(rates_) - rates_.begin());
    const double finished = rates_.at(best_) * measured_windows;
    const double margin = std::max(min_gain, 1 / std::sqrt(std::max(1.0, finished)));
    if (rates_.at(fastest) > rates_.at(best_) * (1 + margin)) {
        best_ = fastest;
    }
}

} // namespace lavenderhoist::admission
