#pragma once

#include "lavenderhoist/core/clock.hpp"

#include <boost/asio/basic_waitable_timer.hpp>

#include <algorithm>

namespace lavenderhoist::net {

/** \brief Gives Asio the time to sleep for a timer of the runtime clock. */
struct clock_wait_traits {
    /** \brief How often a paused clock is checked. */
    static constexpr auto paused_poll = std::chrono::milliseconds(1);

    static runtime_clock::duration to_wait_duration(const runtime_clock::duration& left) {
        if (!runtime_clock::is_paused()) {
            return left;
        }
        return std::min<runtime_clock::duration>(left, paused_poll);
    }

    static runtime_clock::duration to_wait_duration(const runtime_clock::time_point& until) {
        return to_wait_duration(until - runtime_clock::now());
    }
};

/** \brief An Asio timer that follows the runtime clock. */
using timer = boost::asio::basic_waitable_timer<runtime_clock, clock_wait_traits>;

} // namespace lavenderhoist::net
