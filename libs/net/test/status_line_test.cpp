// Status lines that are not HTTP, and codes outside of 100 to 599: a target in trouble sends them,
// and they must not reach a caller as an answer, nor be waited on as if the answer were still to
// come.

#include "lavenderhoist/net/http_link.hpp"

#include "lavenderhoist/core/error.hpp"
#include "loopback.hpp"

#include <gtest/gtest.h>

#include <optional>
#include <string>

namespace lavenderhoist::net {
namespace {

constexpr std::size_t max_body_bytes = 4'096;

class status_line : public testing::TestWithParam<std::string> {};

std::optional<exchange_result> result_for(const std::string& first_line,
                                          const std::string& framing = "Content-Length: 2\r\n") {
    boost::asio::io_context context(1);
    auto [local, peer] = test::make_pair(context);
    const auto link = std::make_shared<http_link>(std::move(local), max_body_bytes);
    link->start([](http_link&) {});
    std::optional<exchange_result> result;
    link->exchange({"GET", "/", {}, "", "host"}, {"x-id", "own"},
                   [&](exchange_result ended) { result = std::move(ended); });
    test::read_available(context, peer);
    test::write_in_pieces(context, peer, first_line + "\r\nX-Id: own\r\n" + framing + "\r\nok", 64);
    return result; // the connection is still open
}

} // namespace

TEST_P(status_line, is_a_broken_answer) {
    const auto result = result_for(GetParam());
    ASSERT_TRUE(result) << "still waits for the answer";
    EXPECT_EQ(result->code, make_error_code(errc::bad_answer));
}

INSTANTIATE_TEST_SUITE_P(malformed, status_line,
                         testing::Values("HTTP/1.1 000 Trouble", "HTTP/1.1 000", "HTTP/1.1 001 x",
                                         "HTTP/1.1 099 x", "HTTP/1.1 600 x", "HTTP/1.1 999 x",
                                         "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 -20 OK",
                                         "HTTP/1.1 2x0 OK", "HTTP/1.1  200 OK", "HTTP/1.1 200OK",
                                         "HTTP/2.0 200 OK", "HTTP/1.x 200 OK", "HTTP 200 OK",
                                         "200 OK"));

// Its body may never come.
TEST(status_line_codes, an_answer_without_a_valid_code_is_not_waited_for) {
    const auto result = result_for("HTTP/1.1 000 x", "Content-Length: 4000\r\n");
    ASSERT_TRUE(result);
    EXPECT_EQ(result->code, make_error_code(errc::bad_answer));
}

TEST(status_line_codes, the_highest_code_of_the_protocol_is_an_answer) {
    const auto result = result_for("HTTP/1.1 599 x");
    ASSERT_TRUE(result);
    EXPECT_FALSE(result->code);
    EXPECT_EQ(result->answer.status, 599);
}

} // namespace lavenderhoist::net
