#include "lavenderhoist/net/internal/http_feed.hpp"
#include "lavenderhoist/net/spawn.hpp"
#include "port_to_target.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/string_body.hpp>
#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace lavenderhoist::relay {
namespace {

/** A target that refuses the first request on each connection; a further one on the same connection
 * gets that refusal once more, while it runs. Connections after the first one are served. */
class faulty_target {
public:
    explicit faulty_target(boost::asio::io_context& context)
        : context_(context),
          acceptor_(net::listen(context.get_executor(), net::make_endpoint("127.0.0.1", 0))) {
        net::spawn(context_, accept());
    }

    net::tcp::endpoint endpoint() const { return acceptor_.local_endpoint(); }

    int runs() const noexcept { return runs_; }

private:
    boost::asio::awaitable<void> accept() {
        for (bool is_first = true;; is_first = false) {
            auto socket = co_await acceptor_.async_accept(boost::asio::use_awaitable);
            net::spawn(context_, serve(std::move(socket), is_first));
        }
    }

    boost::asio::awaitable<void> serve(net::tcp::socket socket, bool refuses) {
        boost::beast::flat_buffer buffer;
        std::string refusal;
        while (true) {
            boost::beast::http::request_parser<boost::beast::http::string_body> parser;
            if (co_await net::internal::read_message(socket, buffer, parser)) {
                co_return;
            }
            const std::string id(parser.get()["x-id"]);
            std::string reply = std::exchange(refusal, {});
            if (!reply.empty()) {
                ++runs_;
            } else if (refuses) {
                refusal = "HTTP/1.1 503 Busy\r\nX-Id: " + id +
                          "\r\nX-Refused: 1\r\nContent-Length: 0\r\n\r\n";
                reply = refusal;
            } else {
                ++runs_;
                reply = "HTTP/1.1 200 OK\r\nX-Id: " + id +
                        "\r\nX-Signed: s\r\nContent-Length: 2\r\n\r\nok";
            }
            boost::system::error_code failed;
            co_await boost::asio::async_write(
                socket, boost::asio::buffer(reply),
                boost::asio::redirect_error(boost::asio::use_awaitable, failed));
        }
    }

    boost::asio::io_context& context_;
    net::tcp::acceptor acceptor_;
    int runs_{0};
};

} // namespace

// The copy bears the id of the request, which is sent to the same target again.
TEST(target_port_refusals, a_second_copy_is_not_taken_for_the_refusal_of_a_further_attempt) {
    boost::asio::io_context context(1);
    faulty_target target(context);
    port_to_target fixture(context, target.endpoint(), 10);
    auto& port = fixture.port();
    const auto attempt = [&] {
        relay_request request;
        request.id = "r1";
        request.service = "back";
        request.message.method = "POST";
        request.message.path = "/order";
        request.deadline = runtime_clock::now() + std::chrono::seconds(1);
        std::optional<relay_answer> result;
        port.submit(std::move(request), [&](relay_answer answer) {
            result = std::move(answer);
            context.stop();
        });
        context.restart();
        context.run_for(std::chrono::seconds(2));
        return result;
    };
    const auto first = attempt();
    ASSERT_TRUE(first);
    EXPECT_EQ(first->result, execution::not_run);
    const auto second = attempt();
    ASSERT_TRUE(second);
    EXPECT_EQ(target.runs(), 1);
    EXPECT_NE(second->result, execution::not_run);
}

} // namespace lavenderhoist::relay
