#include "lavenderhoist/harness/http.hpp"

#include "lavenderhoist/net/http_client.hpp"
#include "lavenderhoist/net/spawn.hpp"
#include "lavenderhoist/net/timer.hpp"

#include <boost/asio/io_context.hpp>

namespace lavenderhoist::harness {

namespace asio = boost::asio;

namespace {

constexpr std::size_t max_body_bytes = 64U << 20U;
constexpr duration poll_interval = std::chrono::milliseconds(20);

} // namespace

net::exchange_result call(const config::address& where, const net::request& message,
                          duration timeout) {
    asio::io_context context(1);
    net::http_client client(context.get_executor(), net::make_endpoint(where.host, where.port),
                            {1, max_body_bytes});
    net::exchange_result result;
    const auto deadline = runtime_clock::now() + timeout;
    net::spawn(context, [&]() -> asio::awaitable<void> {
        result = co_await client.exchange(message, deadline, nullptr);
    });
    context.run();
    return result;
}

void pause_for(duration length) {
    asio::io_context context(1);
    net::timer pause(context, length);
    pause.wait();
}

bool wait_until(const std::function<bool()>& is_met, duration timeout) {
    const auto until = runtime_clock::now() + timeout;
    while (!is_met()) {
        if (runtime_clock::now() >= until) {
            return false;
        }
        pause_for(poll_interval);
    }
    return true;
}

} // namespace lavenderhoist::harness
