#pragma once

#include "lavenderhoist/core/clock.hpp"

namespace lavenderhoist::routing {

/**
 * \brief An admission level heard from elsewhere. Holds for a while and then falls linearly to 0
 * unless it is heard again, so that a caller that stopped asking finds the way open soon after the
 * cause has passed. Without the hold a level would lose some height at each hop of a chain.
 */
class decaying_level {
public:
    /** \brief How long a level stays in force without a new one. */
    static constexpr duration lifetime = std::chrono::milliseconds(1'000);
    static constexpr duration hold_time = lifetime / 2;

    void record(int level, time_point now) noexcept;

    /** \brief The level decayed to `now`. */
    int level(time_point now) const noexcept;

private:
    int level_{0};
    time_point received_at_{};
};

} // namespace lavenderhoist::routing
