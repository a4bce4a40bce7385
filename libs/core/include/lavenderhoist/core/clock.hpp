#pragma once

#include <chrono>

namespace lavenderhoist {

/**
 * \brief The monotonic clock of the runtime: every deadline, lease and timer is read from it. It
 * counts the time for which the host is suspended.
 *
 * Tests can pause it and advance it explicitly. It satisfies the standard's Clock requirements, so
 * that Asio timers can be built on it.
 *
 * \sa net::timer
 */
class runtime_clock {
public:
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<runtime_clock, duration>;
    static constexpr bool is_steady = true;

    /** \brief The current time. Safe to call from any thread. */
    static time_point now() noexcept;

    /** \brief Stops the clock at its current reading. Only for tests. */
    static void pause() noexcept;

    /** \brief Moves a paused clock forward. \param step must not be negative. */
    static void advance(duration step) noexcept;

    /** \brief Resumes a paused clock from its current reading. */
    static void resume() noexcept;

    /** \brief True while the clock is paused. */
    static bool is_paused() noexcept;
};

using time_point = runtime_clock::time_point;
using duration = runtime_clock::duration;
using std::chrono::milliseconds;

/**
 * \brief Wall-clock time, used only where hosts must compare times (key horizon, deadlines of
 * orders). \returns milliseconds since 1970-01-01T00:00:00Z, offset as set by the process's
 * settings.
 */
milliseconds wall_time() noexcept;

/** \brief Shifts wall_time(), to simulate a host with a wrong clock. \param offset signed shift.
 */
void set_wall_offset(milliseconds offset) noexcept;

} // namespace lavenderhoist
