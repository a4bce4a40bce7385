#pragma once

#include "lavenderhoist/net/timer.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <memory>

namespace lavenderhoist::net {

/**
 * \brief Closes a socket when a deadline passes, so that operations on it end with an error.
 *
 * Precondition: the socket outlives the guard, and both are used on one executor.
 */
class deadline_guard {
public:
    deadline_guard(boost::asio::ip::tcp::socket& socket, time_point deadline);
    deadline_guard(const deadline_guard&) = delete;
    deadline_guard& operator=(const deadline_guard&) = delete;
    ~deadline_guard();

    /** \brief True if the deadline passed and the socket was closed. */
    bool expired() const noexcept;

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace lavenderhoist::net
