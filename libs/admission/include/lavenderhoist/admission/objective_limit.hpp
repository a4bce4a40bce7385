#pragma once

#include "lavenderhoist/core/clock.hpp"

#include <cstdint>
#include <unordered_map>

namespace lavenderhoist::admission {

/**
 * \brief Concurrency limit for one route of a target, adapted to a response time objective.
 *
 * A call chain that reaches an overloaded service is queued there and holds a slot in every service
 * upstream; more chains only make all of them late. So the limit depends on response times: it
 * grows while requests end within the objective, and falls below the number in flight when too many
 * are late. A request in flight that exceeds the objective counts as late before it ends.
 *
 * A pure state machine. Nested calls are not subject to it.
 */
class objective_limit {
public:
    /** \param slots of the target. \param cold true to begin with a share of them. */
    objective_limit(int slots, bool cold) noexcept;

    /** \brief True if another request may start. */
    bool can_start() const noexcept { return in_flight() < value(); }

    void on_start(std::uint64_t id, time_point now);
    void on_end(std::uint64_t id, time_point now);

    /** \brief Ends a window. \param objective response time up to which a request is in time. */
    void on_window(duration objective, time_point now) noexcept;

    void resize(int slots) noexcept;

    int value() const noexcept { return static_cast<int>(limit_); }
    int in_flight() const noexcept { return static_cast<int>(started_.size()); }

private:
    void decrease() noexcept;
    void increase() noexcept;

    int slots_;
    double limit_;
    double congested_in_flight_{0}; ///< In flight at the last decrease; grows each window.
    duration objective_{0};
    int in_time_requests_{0};   ///< Requests that ended in time since the last evaluation.
    int late_requests_{0};      ///< Requests that ended late since the last evaluation.
    int peak_in_flight_{0};     ///< Maximum number in flight since the last evaluation.
    int windows_{0};            ///< Windows since the last evaluation.
    bool was_decreased_{false}; ///< True if the last evaluation decreased the limit.
    std::unordered_map<std::uint64_t, time_point> started_;
};

} // namespace lavenderhoist::admission
