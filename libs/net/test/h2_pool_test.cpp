#include "lavenderhoist/net/h2_pool.hpp"

#include "lavenderhoist/core/error.hpp"
#include "lavenderhoist/net/h2_server.hpp"
#include "lavenderhoist/net/spawn.hpp"
#include "loopback.hpp"

#include <gtest/gtest.h>

#include <memory>
#include <optional>

namespace lavenderhoist::net {
namespace {

constexpr duration timeout = std::chrono::milliseconds(100);

exchange_result exchange(boost::asio::io_context& context, h2_pool& pool,
                         const tcp::endpoint& peer) {
    std::optional<exchange_result> result;
    const request message{"GET", "/", {}, "", "host"};
    const auto ask = [&]() -> boost::asio::awaitable<void> {
        result =
            co_await pool.exchange(peer, message, runtime_clock::now() + timeout, timeout, nullptr);
    };
    spawn(context, ask());
    context.restart();
    context.run_for(2 * timeout);
    return result.value_or(exchange_result{});
}

} // namespace

// A connection may fall silent for good, without a reset, while new ones work.
TEST(h2_pool, a_silent_connection_is_not_used_again) {
    boost::asio::io_context context(1);
    auto silent = std::make_unique<tcp::acceptor>(
        listen(context.get_executor(), make_endpoint("127.0.0.1", 0)));
    const auto where = silent->local_endpoint();
    h2_pool pool(context.get_executor(), 1'024);
    EXPECT_EQ(exchange(context, pool, where).code, errc::deadline_passed);
    const auto held_open = silent->accept();
    silent.reset();
    h2_server server(
        listen(context.get_executor(), where), 1'024,
        h2_server::call_handler([](const request& /*message*/, const h2_call_ptr& call) {
            response answer;
            answer.status = 200;
            call->answer(answer);
        }));
    server.start();
    const auto result = exchange(context, pool, where);
    EXPECT_FALSE(result.code) << result.code.message();
    EXPECT_EQ(result.answer.status, 200);
    pool.close_idle(time_point::max());
}

} // namespace lavenderhoist::net
