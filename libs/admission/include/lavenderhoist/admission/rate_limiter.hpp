#pragma once

#include "lavenderhoist/core/clock.hpp"

#include <cstddef>
#include <optional>

namespace lavenderhoist::admission {

/**
 * \brief Limits how many requests start per second: a leaky bucket (GCRA).
 *
 * In any time t at most `per_second * (t + burst) + 1` requests start. A pure state machine.
 */
class rate_limiter {
public:
    /** \brief Time by which requests may start earlier than evenly spaced. */
    static constexpr duration burst = std::chrono::milliseconds(100);

    /** \brief Lower limits count as this one: without any request, no answer could lift them. */
    static constexpr double min_per_second = 0.5;

    /** \brief Sets the limit, or removes it. \param per_second at least 0. */
    void set(std::optional<double> per_second, time_point now) noexcept;

    /** \brief The limit in force; nothing if there is none. */
    std::optional<double> per_second() const noexcept;

    bool can_start(time_point now) const noexcept { return now >= next_start(); }

    /** \brief A request starts. Precondition: can_start(now). */
    void on_start(time_point now) noexcept;

    /** \brief When the next request may start; in the past if it may start at once. */
    time_point next_start() const noexcept;

    /** \brief How long the last of `requests` that start one after the other waits. */
    duration wait_of(std::size_t requests, time_point now) const noexcept;

    /** \brief Requests that have started and are not covered by the rate yet. */
    double backlog(time_point now) const noexcept;

private:
    duration interval_{0};  ///< Between two requests; 0 without a limit.
    time_point covered_at_; ///< When the rate will cover all requests that have started.
};

} // namespace lavenderhoist::admission
