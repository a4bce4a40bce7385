// Malformed, oversized, slow and forged input of callers is answered with the right status, and the
// node keeps serving.

#include "fixture.hpp"

#include <gtest/gtest.h>

#include <boost/asio.hpp>

using namespace lavenderhoist;
using namespace lavenderhoist::system_test;

class system_bad_input : public testing::Test {
protected:
    static void SetUpTestSuite() {
        shared = std::make_unique<harness::deployment>(binaries(), chain_of_two());
        ASSERT_TRUE(shared->start());
    }
    static void TearDownTestSuite() { shared.reset(); }

    /** Sends raw bytes and reads until the node closes the connection. */
    static std::string send_raw(const config::address& where, const std::string& bytes) {
        boost::asio::io_context context;
        boost::asio::ip::tcp::socket socket(context);
        socket.connect(net::make_endpoint(where.host, where.port));
        boost::system::error_code failed;
        boost::asio::write(socket, boost::asio::buffer(bytes), failed);
        std::string answer;
        boost::asio::read(socket, boost::asio::dynamic_buffer(answer), failed);
        return answer;
    }

    static std::unique_ptr<harness::deployment> shared;
};

std::unique_ptr<harness::deployment> system_bad_input::shared;

TEST_F(system_bad_input, malformed_request) {
    const auto answer = send_raw(shared->hosts().front().callers, "NONSENSE\r\n\r\n");
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 400")) << answer;
    EXPECT_NE(answer.find("not-run"), std::string::npos);
}

TEST_F(system_bad_input, body_of_unknown_length) {
    const auto answer = send_raw(shared->hosts().front().callers,
                                 "POST /barriers/x HTTP/1.1\r\nhost: x\r\n"
                                 "transfer-encoding: chunked, gzip\r\n\r\n"
                                 "GET /barriers/hidden HTTP/1.1\r\nhost: x\r\n\r\n");
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 400")) << answer;
    EXPECT_EQ(answer.find("HTTP/1.1", 1), std::string::npos) << "a second request was read";
}

TEST_F(system_bad_input, oversized_header) {
    const auto answer = send_raw(
        shared->hosts().front().callers,
        "GET /barriers/x HTTP/1.1\r\nhost: x\r\nx: " + std::string(20'000, 'a') + "\r\n\r\n");
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 431")) << answer.substr(0, 100);
}

TEST_F(system_bad_input, oversized_body) {
    const auto answer =
        send_raw(shared->hosts().front().callers,
                 "POST /barriers/x HTTP/1.1\r\nhost: x\r\ncontent-length: 99999999\r\n\r\n");
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 413")) << answer.substr(0, 100);
}

TEST_F(system_bad_input, slow_sender) {
    const auto answer =
        send_raw(shared->hosts().front().callers, "GET /barriers/x HTTP/1.1\r\nhost:");
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 408")) << answer.substr(0, 100);
}

TEST_F(system_bad_input, forged_context_gains_nothing) {
    const net::headers forged{
        {"lh-context", "0000"}, {"lh-importance", "1023"}, {"lh-credits", "10"}};
    const auto result = send_request(shared->hosts().front(), "GET", "/barriers/x", "", forged);
    EXPECT_EQ(outcome_of(result), "completed");
}

TEST_F(system_bad_input, admin_listener_wants_the_token) {
    const auto& host = shared->hosts().front();
    EXPECT_EQ(harness::call(host.admin, {"GET", "/v1/status", {}, {}}).answer.status, 401);
    EXPECT_EQ(harness::call(host.admin, {"POST", "/v1/drain", {{"authorization", "Bearer x"}}, {}})
                  .answer.status,
              401);
    EXPECT_NE(harness::call(host.callers, {"GET", "/v1/status", {}, {}}).answer.status, 200);
}
