#pragma once

#include "lavenderhoist/core/clock.hpp"
#include "lavenderhoist/relay/relay_answer.hpp"

#include <cstdint>

namespace lavenderhoist::relay {

/** \brief What to do after an attempt at a request has ended. */
enum class next_step : std::uint8_t {
    deliver, ///< Pass the target's answer to the caller.
    reroute, ///< Send to another target; the last one was not reached.
    retry,   ///< Send to another target, if the retry budget allows it.
    resend,  ///< Send again to a target that has shed it, if the retry budget allows it.
    fail,    ///< Answer the caller with an error.
};

/**
 * \brief Decides after each attempt at a request whether another one follows, and tracks whether
 * the request may have run.
 *
 * A request that is not idempotent goes to a second target only with proof that it has not run at
 * the first. The request as a whole counts as not_run only if that is proven for every attempt.
 */
class attempt_plan {
public:
    /** \brief Bound on attempts, including those that reach no target: each costs time. */
    static constexpr int max_placements = 4;

    /** \brief Bound on attempts at targets that have shed the request before. A target that sheds
     * half of its requests at random takes all but one in a hundred within this. */
    static constexpr int max_resends = 6;

    /** No further attempt is made with less time than this left before the deadline. */
    static constexpr duration min_time_left = std::chrono::milliseconds(5);

    /** \param attempts maximum number of targets that the request may reach, at least 1. */
    attempt_plan(int attempts, bool idempotent) noexcept
        : attempts_(attempts), idempotent_(idempotent) {}

    /** \brief An attempt begins: the request is passed to a target or its node. */
    void on_attempt() noexcept {
        ++placements_;
        open_ = true;
    }

    /** \brief The attempt that begins next goes to a target that has shed the request. */
    void on_resend() noexcept {
        is_resend_ = true;
        ++resends_;
    }

    next_step on_answer(const relay_answer& answer, duration time_left) noexcept;

    /**
     * \brief True if another target may be tried although the last one has answered, because its
     * answer reports a failure.
     */
    bool may_retry_answered(duration time_left) const noexcept;

    /** \brief What is proven about the execution of the request over all attempts so far: not_run
     * or unknown. An attempt in flight or an answered one makes it unknown. */
    execution proven_execution() const noexcept;

    int placements() const noexcept { return placements_; }

    /** \brief Attempts that have reached a target. */
    int reached() const noexcept { return reached_; }

private:
    int attempts_;
    bool idempotent_;
    bool open_{false}; ///< The last attempt has not ended.
    bool may_have_run_{false};
    bool is_resend_{false}; ///< The attempt in flight.
    int reached_{0};        ///< Targets, but for resends.
    int resends_{0};
    int placements_{0};
};

} // namespace lavenderhoist::relay
