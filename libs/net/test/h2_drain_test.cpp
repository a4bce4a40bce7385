#include "lavenderhoist/net/h2_client.hpp"
#include "lavenderhoist/net/h2_server.hpp"
#include "lavenderhoist/net/spawn.hpp"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include <memory>
#include <vector>

namespace lavenderhoist::net {
namespace {

request make_request(int number) {
    request message;
    message.method = "GET";
    message.path = "/" + std::to_string(number);
    return message;
}

// A stream passed to the server's handler must never be reported as unprocessed, even if it arrives
// just as the server begins to drain.
TEST(h2_drain, no_handled_request_is_said_to_be_unprocessed) {
    boost::asio::io_context context(1);
    auto acceptor = listen(context.get_executor(), make_endpoint("127.0.0.1", 0));
    const auto where = acceptor.local_endpoint();
    std::vector<h2_call_ptr> handled;
    std::unique_ptr<h2_server> server;
    server = std::make_unique<h2_server>(
        std::move(acceptor), 1'000,
        h2_server::call_handler([&](const request& /*message*/, h2_call_ptr call) {
            handled.push_back(std::move(call));
            if (handled.size() == 1) {
                server->drain(); // the second request is in the bytes that are being read
            }
        }));
    server->start();
    int unprocessed = 0;
    std::shared_ptr<h2_client> client;
    const auto send_requests = [&]() -> boost::asio::awaitable<void> {
        client = co_await h2_client::connect(context.get_executor(), where, 1'000,
                                             runtime_clock::now() + std::chrono::seconds(1));
        for (int i = 1; i <= 2; ++i) {
            client->submit(make_request(i), [&](const exchange_result& result) {
                unprocessed += result.never_processed ? 1 : 0;
            });
        }
    };
    spawn(context, send_requests());
    context.run_for(std::chrono::milliseconds(200));
    EXPECT_EQ(handled.size(), 2U);
    EXPECT_EQ(unprocessed, 0);
    EXPECT_FALSE(client->is_usable());
    handled.clear();
    client->shut_down();
}

} // namespace
} // namespace lavenderhoist::net
