#pragma once

#include "lavenderhoist/core/clock.hpp"

#include <cstdint>

namespace lavenderhoist::routing {

/**
 * \brief Load and failures of one target, as one entry observes them in its calls.
 *
 * Ejects a target after consecutive failures. After the ejection, one call may be in flight; each
 * answer doubles that number until it bounds nothing any more, each failure halves it, and a
 * failure while it is one ejects the target again.
 */
class target_state {
public:
    /** \brief Consecutive failures after which a target is ejected. */
    static constexpr int failures_to_eject = 3;
    static constexpr duration base_ejection_time = std::chrono::milliseconds(500);
    static constexpr duration max_ejection_time = std::chrono::seconds(8);
    /** \brief The recovery is over when this many calls may be in flight: more than one entry sends
     * to one target. */
    static constexpr int max_recovery_calls = 256;

    int in_flight() const noexcept { return in_flight_; }

    /** \brief True if a call may be sent. */
    bool is_available(time_point now) const noexcept;

    bool is_ejected(time_point now) const noexcept { return now < ejected_until_; }

    void on_sent() noexcept { ++in_flight_; }

    /** \brief True from an ejection until answers have shown that the target has recovered. */
    bool is_recovering() const noexcept { return recovery_calls_ < max_recovery_calls; }

    /** \brief An answer was received, with any result: the target is alive. */
    void on_answer() noexcept;

    /** \brief No answer was received, or the connection was lost. \returns true if this ejects the
     * target. */
    bool on_failure(time_point now) noexcept;

    /** \brief The call was cancelled by its caller; not counted as an answer or a failure. */
    void on_cancelled() noexcept { --in_flight_; }

private:
    int in_flight_{0};
    int failures_{0};                            ///< Consecutive failures.
    duration ejection_time_{base_ejection_time}; ///< Length of the next ejection.
    time_point ejected_until_{};
    int recovery_calls_{max_recovery_calls}; ///< Calls that may be in flight during the recovery.
};

} // namespace lavenderhoist::routing
