#pragma once

#include "lavenderhoist/core/clock.hpp"

#include <cstdint>
#include <unordered_map>

namespace lavenderhoist::admission {

/**
 * \brief How many requests of one route a target works on at once, so that they end in time.
 *
 * A chain of calls that meets an overloaded service waits there and holds its slots in every
 * service above; more chains only make all of them late. So the limit follows the time that
 * requests take: it grows while they end within the goal, and falls below what is in flight when
 * too many don't. Requests in flight that are past the goal count as late before they end.
 *
 * A pure state machine; requests of work under way don't pass it.
 */
class objective_limit {
public:
    /** \param slots of the target. \param cold begins with a part of them. */
    objective_limit(int slots, bool cold) noexcept;

    /** \brief True if another request may start. */
    bool can_start() const noexcept { return in_flight() < value(); }

    void on_start(std::uint64_t id, time_point now);
    void on_end(std::uint64_t id, time_point now);

    /** \brief Ends a window. \param goal within which requests should end. */
    void on_window(duration goal, time_point now) noexcept;

    void resize(int slots) noexcept;

    int value() const noexcept { return static_cast<int>(limit_); }
    int in_flight() const noexcept { return static_cast<int>(started_.size()); }

private:
    void lower() noexcept;
    void grow() noexcept;

    int slots_;
    double limit_;
    double congested_at_{0}; ///< What was in flight when requests were last late.
    duration goal_{0};
    int in_time_{0}; ///< Ended since then.
    int late_{0};
    int peak_{0};         ///< Most in flight since then.
    int windows_{0};      ///< Since the limit was last judged.
    bool lowered_{false}; ///< By the last judgement.
    std::unordered_map<std::uint64_t, time_point> started_;
};

} // namespace lavenderhoist::admission
