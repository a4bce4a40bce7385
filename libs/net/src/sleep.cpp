#include "lavenderhoist/net/sleep.hpp"

#include "lavenderhoist/net/timer.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace lavenderhoist::net {

namespace asio = boost::asio;

asio::awaitable<void> sleep_for(asio::any_io_executor executor, duration length) {
    co_await sleep_until(executor, runtime_clock::now() + length);
}

asio::awaitable<void> sleep_until(asio::any_io_executor executor, time_point moment) {
    timer pause(executor, moment);
    boost::system::error_code ignored;
    co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

} // namespace lavenderhoist::net
