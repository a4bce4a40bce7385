// A faulty server sends bytes without end, in a head or a body, until its peer closes.

#include "lavenderhoist/core/error.hpp"
#include "lavenderhoist/net/http_client.hpp"
#include "lavenderhoist/net/http_link.hpp"
#include "lavenderhoist/net/spawn.hpp"
#include "loopback.hpp"

#include <gtest/gtest.h>

#include <optional>
#include <thread>

namespace lavenderhoist::net {
namespace {

constexpr std::size_t max_body_bytes = 64U << 10U;

/** Bytes a connection may receive before it closes: head, body, and as much again unread. */
constexpr std::size_t max_received_bytes = 512U << 10U;
constexpr std::size_t max_sent_bytes = 8U << 20U;

struct endless_answer {
    const char* name;
    std::string begin;
    std::string more;
};

const std::string answer_head = "HTTP/1.1 200 OK\r\nX-Id: own\r\n";
const std::string chunked_head = answer_head + "Transfer-Encoding: chunked\r\n\r\n";

const std::vector<endless_answer>& all_kinds() {
    static const std::vector<endless_answer> kinds{
        {"garbage", "", "no protocol at all "},
        {"status_line", "HTTP/1.1 200 ", "fine "},
        {"field", "HTTP/1.1 200 OK\r\nX-Id: ", "own"},
        {"fields", "HTTP/1.1 200 OK\r\n", "X-More: and more\r\n"},
        {"interim_answers", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
        {"unframed_body", answer_head + "\r\n", "more of it "},
        {"chunks", chunked_head, "5\r\nchunk\r\n"},
        {"one_chunk", chunked_head + "ffffffff\r\n", "more of it "},
        {"chunk_size", chunked_head, "0"},
        {"chunk_extension", chunked_head + "5;", "name=value;"},
        {"trailer", chunked_head + "0\r\n", "X-More: and more\r\n"},
    };
    return kinds;
}

class answer_without_end : public testing::TestWithParam<endless_answer> {};

std::string name_of(const testing::TestParamInfo<endless_answer>& info) {
    return info.param.name;
}

} // namespace

TEST_P(answer_without_end, ends_the_exchange_after_bounded_bytes) {
    boost::asio::io_context context(1);
    auto [local, peer] = test::make_pair(context);
    const auto link = std::make_shared<http_link>(std::move(local), max_body_bytes);
    link->start([](http_link&) {});
    std::optional<exchange_result> result;
    link->exchange({"GET", "/", {}, "", "host"}, {"x-id", "own"},
                   [&](exchange_result ended) { result = std::move(ended); });
    test::write_in_pieces(context, peer, GetParam().begin, 1'000);
    std::size_t sent = 0;
    std::string piece;
    while (piece.size() < 8U << 10U) {
        piece += GetParam().more;
    }
    while (!result && sent < max_sent_bytes) {
        test::write_in_pieces(context, peer, piece, piece.size());
        sent += piece.size();
    }
    EXPECT_LE(sent, max_received_bytes);
    ASSERT_TRUE(result);
    EXPECT_EQ(result->code, errc::bad_answer);
    EXPECT_FALSE(link->is_open());
    link->abandon();
}

// The same for http_client, the coroutine client used for the platform's store and log.
TEST_P(answer_without_end, ends_the_exchange_of_the_waiting_client_after_bounded_bytes) {
    boost::asio::io_context context(1);
    tcp::acceptor acceptor(context, make_endpoint("127.0.0.1", 0));
    http_client client(context.get_executor(), acceptor.local_endpoint(), {1, max_body_bytes});
    std::optional<exchange_result> result;
    const auto send_request = [&]() -> boost::asio::awaitable<void> {
        const request message{"GET", "/", {}, "", "host"};
        result = co_await client.exchange(message, runtime_clock::now() + std::chrono::seconds(20),
                                          nullptr);
    };
    spawn(context, send_request());
    context.poll();
    auto peer = acceptor.accept();
    peer.non_blocking(true);
    test::write_in_pieces(context, peer, GetParam().begin, 1'000);
    std::size_t sent = 0;
    std::string piece;
    while (piece.size() < 8U << 10U) {
        piece += GetParam().more;
    }
    boost::system::error_code failed;
    while (!result && sent < max_sent_bytes) {
        const auto count = peer.write_some(boost::asio::buffer(piece), failed);
        sent += failed ? 0 : count;
        context.poll();
    }
    EXPECT_LE(sent, max_received_bytes + (4U << 20U)); // what the sockets' buffers hold besides
    ASSERT_TRUE(result);
    EXPECT_EQ(result->code, errc::target_lost);
}

INSTANTIATE_TEST_SUITE_P(kinds, answer_without_end, testing::ValuesIn(all_kinds()), name_of);

} // namespace lavenderhoist::net
