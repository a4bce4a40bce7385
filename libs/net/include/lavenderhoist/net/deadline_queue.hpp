#pragma once

#include "lavenderhoist/net/timer.hpp"

#include <functional>
#include <map>

namespace lavenderhoist::net {

/**
 * \brief Many deadlines on one timer.
 *
 * Most deadlines are removed before they pass, so the timer is armed only for the earliest one and
 * is left armed when that is removed. Not thread-safe; lives on one executor, and its executor's
 * context must not run any more when it is destroyed.
 */
class deadline_queue {
public:
    using action = std::function<void()>;
    /** \brief Identifies a deadline in remove(). */
    using handle = std::multimap<time_point, action>::iterator;

    explicit deadline_queue(const boost::asio::any_io_executor& executor) : timer_(executor) {}

    /** \brief Calls `expired` at `when`, unless the deadline is removed before. */
    handle add(time_point when, action expired);

    /** \brief Removes a deadline that has not passed. */
    void remove(handle which) { entries_.erase(which); }

    std::size_t size() const noexcept { return entries_.size(); }

private:
    void arm(time_point when);
    void expire();

    timer timer_;
    std::multimap<time_point, action> entries_;
    time_point armed_{time_point::max()};
};

} // namespace lavenderhoist::net
