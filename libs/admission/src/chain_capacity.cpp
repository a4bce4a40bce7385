#include "lavenderhoist/admission/chain_capacity.hpp"

#include <algorithm>
#include <cmath>

namespace lavenderhoist::admission {
namespace {

constexpr double seconds_per_window =
    std::chrono::duration<double>(chain_capacity::window_length).count();

/** Attempts in the evaluated windows without which the shed share is not known. */
constexpr int min_attempts = 20;

constexpr double calls_weight = 0.05; // of the latest run in the mean number of calls

/** Retries that may be spent at once, in seconds of the sustained rate. */
constexpr double retry_burst_s = 0.5;

/** The share of these that the first calls of runs leave to runs that have begun. */
constexpr double begun_share = 0.5;

/** Share of the allowed retries that runs are admitted for; the rest covers their variation. */
constexpr double planned_share = 0.8;

/** Runs less than a rank below the level still get retries: the entry that let them in goes by the
 * levels of several nodes. */
constexpr priority level_tolerance = cohorts;

/** Growth per window of the runs that are let in after the end of the shedding. */
constexpr int reopening_factor = 2;

/** The share of attempts assumed to succeed, at least: bounds the retries of a run. */
constexpr double min_success_share = 0.01;

constexpr std::array<float, ranks> full_utilisation = [] {
    std::array<float, ranks> shares{};
    shares.fill(1);
    return shares;
}();

} // namespace

void chain_capacity::on_run(priority importance) noexcept {
    levels_.on_arrival(importance);
}

void chain_capacity::on_run_completed(int calls) noexcept {
    ++completed_runs_;
    if (!calls_per_run_) {
        calls_per_run_ = calls;
        return;
    }
    *calls_per_run_ += calls_weight * (calls - *calls_per_run_);
}

void chain_capacity::on_attempt(bool shed) noexcept {
    auto& present = recent_.at(current_);
    ++present.all;
    present.shed += shed ? 1 : 0;
}

int chain_capacity::recent_attempts() const noexcept {
    int total = 0;
    for (const auto& each : recent_) {
        total += each.all;
    }
    return total;
}

double chain_capacity::shed_share() const noexcept {
    int shed = 0;
    for (const auto& each : recent_) {
        shed += each.shed;
    }
    return static_cast<double>(shed) / std::max(1, recent_attempts());
}

bool chain_capacity::is_limiting() const noexcept {
    return calls_per_run_ && recent_attempts() >= min_attempts && shed_share() > min_shed_share;
}

bool chain_capacity::try_take_retry(priority importance, int completed_calls) noexcept {
    if (!runs_per_second_) {
        return true;
    }
    const double reserved = completed_calls > 0 ? 0 : max_retries_ * begun_share;
    if (importance < level() - level_tolerance || retries_ - reserved < 1) {
        return false;
    }
    retries_ -= 1;
    return true;
}

void chain_capacity::on_window(double retries_per_second) noexcept {
    level_estimator::window seen;
    seen.finished = completed_runs_;
    seen.capacity = completed_runs_ * reopening_factor;
    seen.max_utilisation = full_utilisation;
    if (is_limiting()) {
        const double succeeding = std::max(min_success_share, 1 - shed_share());
        const double retries_per_run = *calls_per_run_ * (1 - succeeding) / succeeding;
        runs_per_second_ = planned_share * retries_per_second / retries_per_run;
        const double runs = *runs_per_second_ * seconds_per_window;
        seen.overloaded = true;
        seen.capacity = static_cast<int>(std::ceil(runs));
        seen.max_capacity = static_cast<float>(runs);
        max_retries_ = retries_per_second * retry_burst_s;
        retries_ = std::min(max_retries_, retries_ + retries_per_second * seconds_per_window);
    } else {
        runs_per_second_.reset();
        retries_ = 0;
    }
    levels_.on_window(seen);
    completed_runs_ = 0;
    current_ = (current_ + 1) % recent_.size();
    recent_.at(current_) = {};
}

} // namespace lavenderhoist::admission
