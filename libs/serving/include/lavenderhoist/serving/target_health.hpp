#pragma once

#include "lavenderhoist/core/clock.hpp"

namespace lavenderhoist::node {

/**
 * \brief Decides from the outcomes of real requests whether the target is healthy; its health
 * endpoint is not used.
 *
 * A target is unhealthy after `min_failures` failures in a row that span `min_failure_span`. It
 * gets requests again after a pause, which doubles each time until the target answers.
 */
class target_health {
public:
    /** \brief Minimum number of failures in a row for a target to be unhealthy. */
    static constexpr int min_failures = 5;
    /** \brief Minimum time from the first to the last of these failures. */
    static constexpr duration min_failure_span = std::chrono::milliseconds(1'000);
    static constexpr duration min_pause = std::chrono::seconds(5);
    static constexpr duration max_pause = std::chrono::seconds(80);

    void on_answered() noexcept;

    /** \brief The target refused, timed out or closed the connection. */
    void on_failed(time_point now) noexcept;

    bool is_healthy(time_point now) const noexcept { return now >= unhealthy_until_; }

private:
    int failures_{0};
    time_point first_failure_at_{};
    time_point unhealthy_until_{};
    duration pause_{min_pause};
};

} // namespace lavenderhoist::node
