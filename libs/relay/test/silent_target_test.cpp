#include "lavenderhoist/net/internal/http_feed.hpp"
#include "lavenderhoist/net/spawn.hpp"
#include "port_to_target.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/string_body.hpp>
#include <gtest/gtest.h>

#include <string>
#include <utility>

namespace lavenderhoist::relay {
namespace {

/** A target whose open connections can fall silent, without a reset, while new ones work. */
class muting_target {
public:
    explicit muting_target(boost::asio::io_context& context)
        : context_(context),
          acceptor_(net::listen(context.get_executor(), net::make_endpoint("127.0.0.1", 0))) {
        net::spawn(context_, accept());
    }

    net::tcp::endpoint endpoint() const { return acceptor_.local_endpoint(); }

    void silence_open() noexcept { first_audible_ = connections_; }

private:
    boost::asio::awaitable<void> accept() {
        while (true) {
            auto socket = co_await acceptor_.async_accept(boost::asio::use_awaitable);
            net::spawn(context_, serve(std::move(socket), connections_++));
        }
    }

    boost::asio::awaitable<void> serve(net::tcp::socket socket, int number) {
        boost::beast::flat_buffer buffer;
        while (true) {
            boost::beast::http::request_parser<boost::beast::http::string_body> parser;
            if (co_await net::internal::read_message(socket, buffer, parser)) {
                co_return;
            }
            if (number < first_audible_) {
                continue;
            }
            const std::string reply =
                "HTTP/1.1 200 OK\r\nX-Id: " + std::string(parser.get()["x-id"]) +
                "\r\nX-Signed: s\r\nKeep-Alive: timeout=60\r\n"
                "Content-Length: 2\r\n\r\nok";
            boost::system::error_code failed;
            co_await boost::asio::async_write(
                socket, boost::asio::buffer(reply),
                boost::asio::redirect_error(boost::asio::use_awaitable, failed));
        }
    }

    boost::asio::io_context& context_;
    net::tcp::acceptor acceptor_;
    int connections_{0};
    int first_audible_{0};
};

} // namespace

TEST(target_port_silence, connections_that_fell_silent_cost_one_request) {
    constexpr int connections = 6;
    boost::asio::io_context context(1);
    muting_target target(context);
    port_to_target fixture(context, target.endpoint(), 100);
    auto& port = fixture.port();
    int answered = 0;
    int ended = 0;
    const auto submit = [&](int number) {
        relay_request request;
        request.id = "r" + std::to_string(number);
        request.service = "back";
        request.message.method = "GET";
        request.message.path = "/read";
        request.deadline = runtime_clock::now() + milliseconds(150);
        port.submit(std::move(request), [&](const relay_answer& answer) {
            answered += answer.result == execution::answered ? 1 : 0;
            ++ended;
        });
    };
    const auto run_until_ended = [&](int count) {
        while (ended < count && context.run_one_for(std::chrono::seconds(2)) > 0) {
        }
    };
    for (int i = 0; i < connections; ++i) {
        submit(i);
    }
    run_until_ended(connections);
    ASSERT_EQ(answered, connections);
    ASSERT_EQ(port.open_connections(), static_cast<std::size_t>(connections));
    target.silence_open();
    for (int i = 1; i <= connections; ++i) {
        submit(connections + i);
        run_until_ended(connections + i);
    }
    EXPECT_EQ(answered, 2 * connections - 1);
}

} // namespace lavenderhoist::relay
