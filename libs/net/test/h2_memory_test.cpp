// Bodies of other nodes that exceed the memory of the server.

#include "lavenderhoist/net/h2_client.hpp"
#include "lavenderhoist/net/h2_server.hpp"
#include "loopback.hpp"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lavenderhoist::net {
namespace {

constexpr std::size_t max_body_bytes = 1U << 20U;
constexpr std::size_t max_held_bytes = 400'000;
constexpr int status_refused = 503;

/** A server with a bound on its memory, and a client of it. */
class bounded_server : public testing::Test {
protected:
    bounded_server()
        : pool_(std::make_shared<memory_pool>(max_held_bytes)),
          acceptor_(listen(context_.get_executor(), make_endpoint("127.0.0.1", 0))) {
        const auto where = acceptor_.local_endpoint();
        server_ = std::make_unique<h2_server>(
            std::move(acceptor_), max_body_bytes,
            h2_server::call_handler([this](request message, const h2_call_ptr& call) {
                received_.push_back(message.body.size());
                call->answer({200, {}, message.body.str()});
            }));
        server_->set_memory(pool_, [] { return response{status_refused, {}, {}}; });
        server_->start();
        tcp::socket socket(context_);
        socket.connect(where);
        client_ = std::make_shared<h2_client>(std::move(socket), max_body_bytes);
        client_->start();
    }

    void TearDown() override {
        client_->shut_down();
        server_->close();
        run();
    }

    int status_of(std::size_t body_bytes) {
        request message;
        message.method = "POST";
        message.path = "/";
        message.body = std::string(body_bytes, 'x');
        std::optional<exchange_result> result;
        client_->submit(message, [&result](exchange_result done) { result = std::move(done); });
        run();
        return result && !result->code ? result->answer.status : 0;
    }

    void run() {
        context_.restart();
        context_.run_for(milliseconds(200));
    }

    boost::asio::io_context context_{1};
    memory_pool_ptr pool_;
    tcp::acceptor acceptor_;
    std::unique_ptr<h2_server> server_;
    std::shared_ptr<h2_client> client_;
    std::vector<std::size_t> received_;
};

// A refused request must never be begun: its entry sends it to another node.
TEST_F(bounded_server, refuses_a_body_without_beginning_its_request) {
    EXPECT_EQ(status_of(max_held_bytes + 1), status_refused);
    EXPECT_TRUE(received_.empty());
    EXPECT_EQ(pool_->account().total(), 0U);
    EXPECT_EQ(client_->open_streams(), 0U);
}

TEST_F(bounded_server, serves_further_requests_on_the_connection_of_a_refused_one) {
    EXPECT_EQ(status_of(max_held_bytes + 1), status_refused);
    constexpr std::size_t body_bytes = 200'000;
    EXPECT_EQ(status_of(body_bytes), 200);
    EXPECT_EQ(received_, std::vector<std::size_t>{body_bytes});
    EXPECT_EQ(pool_->account().total(), 0U);
}

} // namespace
} // namespace lavenderhoist::net
