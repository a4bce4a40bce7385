#pragma once

#include "lavenderhoist/core/clock.hpp"

#include <cstdint>

namespace lavenderhoist::routing {

/**
 * \brief What one entry knows of one target from its own calls: load and failures.
 *
 * Ejects a target after failures in a row; after the ejection one trial at a time is let through
 * until one succeeds.
 */
class target_state {
public:
    /** \brief Failures in a row that eject a target. */
    static constexpr int failures_to_eject = 3;
    static constexpr duration base_ejection_time = std::chrono::milliseconds(500);
    static constexpr duration max_ejection_time = std::chrono::seconds(8);

    int in_flight() const noexcept { return in_flight_; }

    /** \brief True if a call may be sent. */
    bool is_available(time_point now) const noexcept;

    bool is_ejected(time_point now) const noexcept { return now < ejected_until_; }

    void on_sent() noexcept { ++in_flight_; }

    /** \brief An answer came: the target lives, whatever it said. */
    void on_answer() noexcept;

    /** \brief No answer came, or the connection broke. \returns true if this ejects the target. */
    bool on_failure(time_point now) noexcept;

    /** \brief The call was withdrawn by its caller; says nothing about the target. */
    void on_cancelled() noexcept { --in_flight_; }

private:
    int in_flight_{0};
    int failures_{0};
    duration ejection_{base_ejection_time};
    time_point ejected_until_{};
    bool is_on_trial_{false};
};

} // namespace lavenderhoist::routing
