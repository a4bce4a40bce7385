#pragma once

#include "lavenderhoist/core/clock.hpp"

namespace lavenderhoist::node {

/**
 * \brief Decides from the outcomes of real requests whether the target is fit for work; what its
 * health endpoint says does not count.
 *
 * A target that has answered nothing for a while, although it was given several requests, is unfit.
 * It is tried again after a pause that doubles each time.
 */
class target_health {
public:
    /** \brief Failures since the last answer that make a target unfit... */
    static constexpr int min_failures = 5;
    /** \brief ...if they span this time. */
    static constexpr duration min_failure_span = std::chrono::milliseconds(1'000);
    static constexpr duration min_pause = std::chrono::seconds(5);
    static constexpr duration max_pause = std::chrono::seconds(80);

    void on_answered() noexcept;

    /** \brief The target refused, timed out or broke off. */
    void on_failed(time_point now) noexcept;

    bool is_healthy(time_point now) const noexcept { return now >= unhealthy_until_; }

private:
    int failures_{0};
    time_point first_failure_{};
    time_point unhealthy_until_{};
    duration pause_{min_pause};
};

} // namespace lavenderhoist::node
