#pragma once

#include "lavenderhoist/core/clock.hpp"

namespace lavenderhoist::routing {

/**
 * \brief An admission level received from a target or another node. It is constant for `hold_time`
 * and then falls linearly to 0 unless it is received again, so that a caller that sends no
 * requests, and so receives no levels, may send again soon after the overload has ended. Without
 * the hold time, each hop of a chain would pass on a slightly lower level.
 */
class decaying_level {
public:
    /** \brief Time after which a level has fallen to 0 unless a new one is received. */
    static constexpr duration lifetime = std::chrono::milliseconds(1'000);
    static constexpr duration hold_time = lifetime / 2;

    /** \brief Replaces the level by one received at `now`. */
    void record(int level, time_point now) noexcept;

    /** \brief The level after its decay until `now`. */
    int level(time_point now) const noexcept;

private:
    int level_{0};
    time_point received_at_{};
};

} // namespace lavenderhoist::routing
