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
    static constexpr int failures_to_unfit = 5;
    /** \brief ...if they span this time. */
    static constexpr duration unfit_after = std::chrono::milliseconds(1'000);
    static constexpr duration first_pause = std::chrono::seconds(5);
    static constexpr duration longest_pause = std::chrono::seconds(80);

    void on_answered() noexcept;

    /** \brief The target refused, timed out or broke off. */
    void on_failed(time_point now) noexcept;

    bool is_fit(time_point now) const noexcept { return now >= unfit_until_; }

private:
    int failures_{0};
    time_point first_failure_{};
    time_point unfit_until_{};
    duration pause_{first_pause};
};

} // namespace lavenderhoist::node
