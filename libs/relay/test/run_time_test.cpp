#include "lavenderhoist/net/internal/http_feed.hpp"
#include "lavenderhoist/net/sleep.hpp"
#include "lavenderhoist/net/spawn.hpp"
#include "port_to_target.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/string_body.hpp>
#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <utility>

namespace lavenderhoist::relay {
namespace {

constexpr milliseconds work{30};

/** A target that fails at once on the path `/failing` and works for a while on others. */
class unequal_target {
public:
    explicit unequal_target(boost::asio::io_context& context)
        : context_(context),
          acceptor_(net::listen(context.get_executor(), net::make_endpoint("127.0.0.1", 0))) {
        net::spawn(context_, accept());
    }

    net::tcp::endpoint endpoint() const { return acceptor_.local_endpoint(); }

private:
    boost::asio::awaitable<void> accept() {
        while (true) {
            auto socket = co_await acceptor_.async_accept(boost::asio::use_awaitable);
            net::spawn(context_, serve(std::move(socket)));
        }
    }

    boost::asio::awaitable<void> serve(net::tcp::socket socket) {
        boost::beast::flat_buffer buffer;
        while (true) {
            boost::beast::http::request_parser<boost::beast::http::string_body> parser;
            if (co_await net::internal::read_message(socket, buffer, parser)) {
                co_return;
            }
            const bool fails = parser.get().target() == "/failing";
            if (!fails) {
                co_await net::sleep_for(context_.get_executor(), work);
            }
            const std::string reply =
                std::string(fails ? "HTTP/1.1 500 Failed" : "HTTP/1.1 200 OK") +
                "\r\nX-Id: " + std::string(parser.get()["x-id"]) +
                "\r\nX-Signed: s\r\nContent-Length: 2\r\n\r\nok";
            boost::system::error_code failed;
            co_await boost::asio::async_write(
                socket, boost::asio::buffer(reply),
                boost::asio::redirect_error(boost::asio::use_awaitable, failed));
        }
    }

    boost::asio::io_context& context_;
    net::tcp::acceptor acceptor_;
};

} // namespace

// A target that fails at once would look the fastest of its service and attract its requests.
TEST(run_time, is_reported_by_route_and_not_lowered_by_fast_failures) {
    boost::asio::io_context context(1);
    unequal_target target(context);
    port_to_target fixture(context, target.endpoint(), 10);
    auto& port = fixture.port();
    int requests = 0;
    const auto run = [&](const std::string& route, const std::string& path) {
        relay_request request;
        request.id = "r" + std::to_string(++requests);
        request.service = "back";
        request.route = route;
        request.message.method = "GET";
        request.message.path = path;
        request.deadline = runtime_clock::now() + std::chrono::seconds(5);
        std::optional<relay_answer> result;
        port.submit(std::move(request), [&](relay_answer answer) {
            result = std::move(answer);
            context.stop();
        });
        context.restart();
        context.run_for(std::chrono::seconds(10));
        return result;
    };
    EXPECT_EQ(port.load("work").run_time, duration(0));
    const auto answered = run("work", "/work");
    ASSERT_TRUE(answered && answered->load);
    const auto known = answered->load->run_time;
    EXPECT_GE(known, work);
    for (int i = 0; i < 5; ++i) {
        const auto failed = run("work", "/failing");
        ASSERT_TRUE(failed);
        EXPECT_EQ(failed->message.status, 500);
    }
    EXPECT_EQ(port.load("work").run_time, known);
    EXPECT_EQ(port.load("other").run_time, duration(0));
}

} // namespace lavenderhoist::relay
