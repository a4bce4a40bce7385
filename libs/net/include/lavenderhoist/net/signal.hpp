#pragma once

#include "lavenderhoist/net/timer.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace lavenderhoist::net {

/**
 * \brief A one-shot event that one coroutine awaits, with a deadline.
 *
 * Not thread-safe: set() and wait() run on the same executor.
 */
class signal {
public:
    explicit signal(const boost::asio::any_io_executor& executor) : timer_(executor) {}

    /** \brief Wakes the waiter. Later calls have no effect. */
    void set() {
        is_set_ = true;
        timer_.cancel();
    }

    bool is_set() const noexcept { return is_set_; }

    /** \brief Waits until set() or `deadline`. \returns true if the event was set. */
    boost::asio::awaitable<bool> wait(time_point deadline) {
        if (is_set_) {
            co_return true;
        }
        timer_.expires_at(deadline);
        boost::system::error_code ignored;
        co_await timer_.async_wait(
            boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
        co_return is_set_;
    }

private:
    timer timer_;
    bool is_set_{false};
};

} // namespace lavenderhoist::net
