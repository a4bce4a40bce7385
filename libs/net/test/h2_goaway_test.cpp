// HTTP/2 connections between nodes under overload: mass cancellation of streams, and which streams
// may be reported as never processed after the connection ends.

#include "lavenderhoist/net/h2_client.hpp"
#include "lavenderhoist/net/h2_server.hpp"
#include "loopback.hpp"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <vector>

namespace lavenderhoist::net {
namespace {

constexpr int cancelled_calls = 1'500;
constexpr int later_calls = 100;

request make_request() {
    request message;
    message.method = "GET";
    message.path = "/";
    return message;
}

void run_for(boost::asio::io_context& context, milliseconds length) {
    context.restart();
    context.run_for(length);
}

} // namespace

// Under overload a deep service rejects half of its calls. The call chains fail and their other
// calls are cancelled: more than a thousand a second on one connection.
TEST(h2_goaway, withdrawn_calls_neither_end_the_connection_nor_prove_that_others_did_not_run) {
    boost::asio::io_context context(1);
    auto acceptor = listen(context.get_executor(), make_endpoint("127.0.0.1", 0));
    const auto where = acceptor.local_endpoint();
    std::vector<h2_call_ptr> handled;
    h2_server server(std::move(acceptor), 1'000,
                     h2_server::call_handler([&](const request& /*message*/, h2_call_ptr call) {
                         handled.push_back(std::move(call));
                     }));
    server.start();
    tcp::socket socket(context);
    socket.connect(where);
    const auto client = std::make_shared<h2_client>(std::move(socket), 1'000);
    client->start();
    run_for(context, milliseconds(20)); // the settings of both sides
    std::vector<std::int32_t> ids;
    for (int i = 0; i < cancelled_calls; ++i) {
        ids.push_back(client->submit(make_request(), [](const exchange_result&) {}));
    }
    run_for(context, milliseconds(200));
    ASSERT_EQ(handled.size(), static_cast<std::size_t>(cancelled_calls));
    int unprocessed = 0;
    int lost = 0;
    for (const auto id : ids) {
        client->cancel(id);
    }
    for (int i = 0; i < later_calls; ++i) {
        client->submit(make_request(), [&](const exchange_result& ended) {
            unprocessed += ended.never_processed ? 1 : 0;
            lost += ended.code ? 1 : 0;
        });
    }
    run_for(context, milliseconds(200));
    EXPECT_EQ(handled.size(), static_cast<std::size_t>(cancelled_calls + later_calls));
    EXPECT_EQ(unprocessed, 0);
    EXPECT_EQ(lost, 0);
    EXPECT_TRUE(client->is_usable());
    handled.clear();
    client->shut_down();
    server.close();
    run_for(context, milliseconds(20));
}

// A server may queue this GOAWAY and still process streams that arrive before it is written.
TEST(h2_goaway, an_error_of_the_connection_proves_nothing_of_its_calls) {
    boost::asio::io_context context(1);
    auto [local, peer] = test::make_pair(context);
    const auto client = std::make_shared<h2_client>(std::move(local), 1'000);
    client->start();
    std::optional<exchange_result> result;
    client->submit(make_request(), [&](exchange_result ended) { result = std::move(ended); });
    const std::string settings("\0\0\0\4\0\0\0\0\0", 9);
    const std::string goaway("\0\0\x8\7\0\0\0\0\0\0\0\0\0\0\0\0\2", 17); // internal error, last 0
    test::write_in_pieces(context, peer, settings + goaway, 100);
    peer.close();
    run_for(context, milliseconds(100));
    ASSERT_TRUE(result);
    EXPECT_TRUE(result->code);
    EXPECT_FALSE(result->never_processed);
    client->shut_down();
}

// After a GOAWAY without error no stream above the last one that it names is processed.
TEST(h2_goaway, an_orderly_end_proves_that_later_calls_did_not_run) {
    boost::asio::io_context context(1);
    auto [local, peer] = test::make_pair(context);
    const auto client = std::make_shared<h2_client>(std::move(local), 1'000);
    client->start();
    std::optional<exchange_result> result;
    client->submit(make_request(), [&](exchange_result ended) { result = std::move(ended); });
    const std::string settings("\0\0\0\4\0\0\0\0\0", 9);
    const std::string goaway("\0\0\x8\7\0\0\0\0\0\0\0\0\0\0\0\0\0", 17); // no error, last 0
    test::write_in_pieces(context, peer, settings + goaway, 100);
    ASSERT_TRUE(result);
    EXPECT_TRUE(result->never_processed);
    client->shut_down();
}

} // namespace lavenderhoist::net
