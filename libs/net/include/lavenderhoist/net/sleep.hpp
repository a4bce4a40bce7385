#pragma once

#include "lavenderhoist/core/clock.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

namespace lavenderhoist::net {

/** \brief Waits for a while on the runtime clock. */
boost::asio::awaitable<void> sleep_for(boost::asio::any_io_executor executor, duration length);

/** \brief Waits until a moment of the runtime clock. */
boost::asio::awaitable<void> sleep_until(boost::asio::any_io_executor executor, time_point moment);

} // namespace lavenderhoist::net
