#include "lavenderhoist/admission/utilisation_tuner.hpp"

#include <algorithm>
#include <cmath>

namespace lavenderhoist::admission {
namespace {

/** Of fewer slots, the steps between the shares would be less than one. */
constexpr int least_slots = 16;

/** Windows of a tenth of a second. What was begun at the share before ends in the first ones. */
constexpr int settling_windows = 3;
constexpr int measured_windows = 10;

/** A share that is clearly worse is left early: it costs throughput. */
constexpr int least_windows = 4;
constexpr double clearly_worse = 0.9;

/** By how much more another share must finish: what chance makes of so many finished requests, and
 * at least this much. */
constexpr double least_gain = 0.03;

/** Half a minute: trials cost throughput, and targets change their ways when they are replaced,
 * seldom otherwise. */
constexpr int resting_windows = 300;

} // namespace

int utilisation_tuner::bound(int slots) const noexcept {
    if (slots < least_slots) {
        return slots;
    }
    const bool is_trying = tried_ < shares.size() && held_ == 0;
    return static_cast<int>(slots * shares.at(is_trying ? tried_ : best_));
}

void utilisation_tuner::hold(int windows) noexcept {
    held_ = windows;
    rates_ = {};
    tried_ = 0;
    windows_ = 0;
    finished_ = 0;
}

double utilisation_tuner::rate() const noexcept {
    return static_cast<double>(finished_) / std::max(1, windows_ - settling_windows);
}

bool utilisation_tuner::is_clearly_worse() const noexcept {
    const double best = *std::ranges::max_element(rates_);
    return windows_ >= settling_windows + least_windows && rate() < best * clearly_worse;
}

void utilisation_tuner::on_window(int finished, bool saturated) noexcept {
    if (held_ > 0) {
        --held_;
        return;
    }
    if (!saturated) {
        if (tried_ < shares.size()) {
            windows_ = 0; // this trial begins anew
            finished_ = 0;
        }
        return;
    }
    ++windows_;
    if (tried_ == shares.size()) {
        if (windows_ >= resting_windows) {
            rates_ = {};
            tried_ = 0;
            windows_ = 0;
        }
        return;
    }
    if (windows_ <= settling_windows) {
        return;
    }
    finished_ += finished;
    if (windows_ >= settling_windows + measured_windows || is_clearly_worse()) {
        try_next();
    }
}

void utilisation_tuner::try_next() noexcept {
    rates_.at(tried_) = rate();
    finished_ = 0;
    windows_ = 0;
    if (++tried_ < shares.size()) {
        return;
    }
    const auto most = static_cast<std::size_t>(std::ranges::max_element(rates_) - rates_.begin());
    const double finished = rates_.at(best_) * measured_windows;
    const double margin = std::max(least_gain, 1 / std::sqrt(std::max(1.0, finished)));
    if (rates_.at(most) > rates_.at(best_) * (1 + margin)) {
        best_ = most;
    }
}

} // namespace lavenderhoist::admission
