#pragma once

#include "lavenderhoist/admission/level_estimator.hpp"
#include "lavenderhoist/admission/priority.hpp"
#include "lavenderhoist/core/clock.hpp"

#include <array>
#include <cstddef>
#include <optional>

namespace lavenderhoist::admission {

/**
 * \brief Finds which runs of a route can be completed while a service that they call sheds part of
 * its calls whatever its load.
 *
 * A run that makes four calls, one after the other, of which half are shed, completes once in
 * sixteen times; the rest ends in an error after work has been done. Retries complete it, but their
 * number is bounded. So this finds how many runs a second the allowed retries can complete, and the
 * level below which runs must not begin; retries are given to runs at or above the level.
 *
 * Answers the load at a node whose target calls a faulty service; it does nothing while less than
 * `min_shed_share` of the calls are shed. A pure state machine; one for each route and called
 * service.
 */
class chain_capacity {
public:
    /** \brief Share of shed attempts from which runs are limited: targets that are only full shed
     * less. */
    static constexpr double min_shed_share = 0.1;

    static constexpr duration window_length = std::chrono::milliseconds(100);

    /** \brief A run of the route has made its first call. */
    void on_run(priority importance) noexcept;

    /** \brief A run has completed after that many calls. */
    void on_run_completed(int calls) noexcept;

    /** \brief An attempt at a call has ended. \param shed true if the target refused it. */
    void on_attempt(bool shed) noexcept;

    /**
     * \brief Withdraws one retry of a call that was shed.
     *
     * A run that has begun its calls is preferred: its first call may use only what a full second
     * of retries leaves over.
     * \param completed_calls of the same run.
     * \returns false if other runs are to get it.
     */
    bool try_take_retry(priority importance, int completed_calls) noexcept;

    /** \brief To be called every `window_length`.
     * \param retries_per_second that the budget allows for calls of this route. */
    void on_window(double retries_per_second) noexcept;

    /** \brief Runs of lower importance can't be completed. */
    priority level() const noexcept { return levels_.level(); }

    /** \brief Runs per second that can be completed; nothing while runs are not limited. */
    std::optional<double> runs_per_second() const noexcept { return runs_per_second_; }

    /** \brief Share of the recent attempts that were shed. */
    double shed_share() const noexcept;

    /** \brief Attempts in the recent windows. */
    int recent_attempts() const noexcept;

private:
    /** Attempts are evaluated over this many windows. */
    static constexpr std::size_t evaluated_windows = 10;

    struct attempts {
        int all{0};
        int shed{0};
    };

    bool is_limiting() const noexcept;

    level_estimator levels_;
    std::array<attempts, evaluated_windows> recent_{}; ///< The current one is at `current_`.
    std::size_t current_{0};
    std::optional<double> calls_per_run_; ///< Mean, of completed runs.
    std::optional<double> runs_per_second_;
    double retries_{0}; ///< That may be withdrawn now.
    double max_retries_{0};
    int completed_runs_{0}; ///< In this window.
};

} // namespace lavenderhoist::admission
