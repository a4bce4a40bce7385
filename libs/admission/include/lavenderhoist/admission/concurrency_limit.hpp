#pragma once

#include "lavenderhoist/core/clock.hpp"

namespace lavenderhoist::admission {

/**
 * \brief How many requests a target is given at once: adaptive, within the inventory's slots.
 *
 * Starts low for a cold target and doubles each window while the target keeps up. A target that
 * sheds although the limit allows the request has fewer slots than the inventory says: the limit
 * falls below what was in flight, and then grows by one each window.
 *
 * Latency alone does not lower the limit: a target whose back end has slowed down is not relieved
 * by leaving its slots empty. docs/DESIGN.md weighs this against a latency gradient.
 */
class concurrency_limit {
public:
    /** \brief \param slots of the inventory, at least 1. */
    explicit concurrency_limit(int slots);

    int value() const noexcept { return static_cast<int>(limit_); }
    int slots() const noexcept { return slots_; }

    /** \brief Takes over a changed inventory. */
    void resize(int slots) noexcept;

    /** \brief The target has been replaced or restarted: it is cold. */
    void restart() noexcept;

    /** \brief The target has been running for a while: it takes all of its slots at once. */
    void assume_warm() noexcept;

    /** \brief The target shed a request while `in_flight` others ran. */
    void on_shed(int in_flight) noexcept;

    /** \brief A request finished. \param in_flight how many ran at its end, itself included. */
    void on_finished(int in_flight) noexcept;

    /** \brief A request left its slot, whatever came of it. */
    void on_ended() noexcept { ++ended_; }

    /** \brief True while the target sheds whatever it is given. */
    bool is_faulty() const noexcept;

    /** \brief Ends a window. */
    void on_window() noexcept;

private:
    int slots_;
    double limit_;
    int peak_in_flight_{0};
    int sheds_{0};            ///< In this window.
    int ended_{0};            ///< In this window, sheds included.
    int shedding_windows_{0}; ///< Windows in a row in which much was shed.
    bool slow_start_{true};
};

} // namespace lavenderhoist::admission
