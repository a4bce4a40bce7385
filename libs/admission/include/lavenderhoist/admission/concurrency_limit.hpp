#pragma once

#include "lavenderhoist/admission/ramp_up.hpp"
#include "lavenderhoist/core/clock.hpp"

namespace lavenderhoist::admission {

/**
 * \brief Adaptive concurrency limit of a target, at most the number of slots in the inventory.
 *
 * A target that has just started begins with a low limit, which `ramp_up` raises with its answers
 * until all slots are in use or the target sheds a request. A target that sheds a request within
 * the limit has fewer slots than the inventory says: the limit falls below the number in flight,
 * and then grows by at least one each window.
 *
 * After the ramp-up, latency alone does not lower the limit: a target whose back end has slowed
 * down is not relieved by leaving its slots empty. docs/DESIGN.md compares this with a latency
 * gradient.
 */
class concurrency_limit {
public:
    /** \brief \param slots of the inventory, at least 1. */
    explicit concurrency_limit(int slots);

    int value() const noexcept { return static_cast<int>(limit_); }
    int slots() const noexcept { return slots_; }

    /** \brief Applies a changed number of slots from the inventory. */
    void resize(int slots) noexcept;

    /** \brief The target has been replaced or restarted: the ramp-up begins again. */
    void restart() noexcept;

    /** \brief The target has been running for a while: the limit is all of its slots at once. */
    void assume_warm() noexcept;

    /** \brief The target shed a request while `in_flight` other requests were in flight. */
    void on_shed(int in_flight) noexcept;

    /** \brief Records the number of requests in flight at the start or end of one, itself included.
     */
    void record_in_flight(int in_flight) noexcept;

    /** \brief The target answered a request in full after `time_in_slot`, while `in_flight`
     * requests were in flight, this one included. */
    void on_answered(duration time_in_slot, int in_flight) noexcept;

    ramp_up::phase ramp_phase() const noexcept { return ramp_.current_phase(); }

    /** \brief A request released its slot, with any result. */
    void on_ended() noexcept { ++ended_requests_; }

    /** \brief True if the target sheds a large share of its requests whatever the limit is. */
    bool is_faulty() const noexcept;

    /** \brief Ends a window. */
    void on_window() noexcept;

private:
    int slots_;
    double limit_;
    int peak_in_flight_{0};
    int shed_requests_{0};    ///< Shed by the target in this window.
    int ended_requests_{0};   ///< Slots released in this window, shed requests included.
    int shedding_windows_{0}; ///< Consecutive windows with a large share of shed requests.
    ramp_up ramp_;
};

} // namespace lavenderhoist::admission
