// Requests that were withdrawn while the server had no time to read them.

#include "lavenderhoist/net/h2_client.hpp"
#include "lavenderhoist/net/h2_server.hpp"
#include "loopback.hpp"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

namespace lavenderhoist::net {
namespace {

request make_request(const std::string& path) {
    request message;
    message.method = "GET";
    message.path = path;
    return message;
}

void run_for(boost::asio::io_context& context, milliseconds length) {
    context.restart();
    context.run_for(length);
}

} // namespace

// A node without processor time reads a request together with its withdrawal.
TEST(h2_withdrawal, a_request_whose_reset_has_arrived_is_not_begun) {
    boost::asio::io_context server_context(1);
    boost::asio::io_context client_context(1);
    auto acceptor = listen(server_context.get_executor(), make_endpoint("127.0.0.1", 0));
    const auto where = acceptor.local_endpoint();
    std::vector<std::string> begun;
    std::vector<h2_call_ptr> calls;
    h2_server server(std::move(acceptor), 1'000,
                     h2_server::call_handler([&](const request& message, h2_call_ptr call) {
                         begun.push_back(message.path);
                         calls.push_back(std::move(call));
                     }));
    server.start();
    tcp::socket socket(client_context);
    socket.connect(where);
    const auto client = std::make_shared<h2_client>(std::move(socket), 1'000);
    client->start();
    run_for(client_context, milliseconds(20)); // the settings of both sides
    run_for(server_context, milliseconds(20));
    run_for(client_context, milliseconds(20));
    const auto withdrawn =
        client->submit(make_request("/withdrawn"), [](const exchange_result&) {});
    client->submit(make_request("/wanted"), [](const exchange_result&) {});
    run_for(client_context, milliseconds(20));
    client->cancel(withdrawn);
    run_for(client_context, milliseconds(20));
    run_for(server_context, milliseconds(20));
    EXPECT_EQ(begun, std::vector<std::string>{"/wanted"});
    EXPECT_EQ(server.requests_in_flight(), 1U);
    calls.clear();
    client->shut_down();
    server.close();
    run_for(server_context, milliseconds(20));
    run_for(client_context, milliseconds(20));
}

} // namespace lavenderhoist::net
