// Sequences of valid and faulty server output, compared with a reference model of each piece.

#include "lavenderhoist/net/http_link.hpp"

#include "lavenderhoist/core/error.hpp"
#include "loopback.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <optional>

namespace lavenderhoist::net {
namespace {

const http_link::echo expected_echo{"x-id", "own"};
constexpr std::size_t max_body_bytes = 4'096;
constexpr int max_unmatched_answers = 2;
const std::string body = "the body";

/** One thing that a server sends. */
enum class piece {
    unmatched, ///< A whole answer to another request.
    interim,   ///< 103 Early Hints.
    framed,    ///< The expected answer with its length.
    chunked,   ///< The expected answer in chunks.
    empty,     ///< The expected answer in chunks, with no body.
    cut,       ///< The expected answer, ended by the connection before its length.
    cut_chunk, ///< The expected answer in chunks, ended before the last one.
    unframed,  ///< The expected answer without a length, ended by the connection.
    reset,     ///< The same, ended by a reset.
    oversized, ///< The expected answer, longer than the bound.
    garbage,   ///< No HTTP.
    count,
};

std::string answer_head(std::string_view id, std::string_view framing) {
    return "HTTP/1.1 200 OK\r\nX-Id: " + std::string(id) + "\r\n" + std::string(framing) + "\r\n";
}

std::string bytes_of(piece what) {
    const auto length = "Content-Length: " + std::to_string(body.size()) + "\r\n";
    switch (what) {
    case piece::unmatched:
        return answer_head("other", length) + body;
    case piece::interim:
        return "HTTP/1.1 103 Early Hints\r\n\r\n";
    case piece::framed:
        return answer_head("own", length) + body;
    case piece::chunked:
        return answer_head("own", "Transfer-Encoding: chunked\r\n") + "3\r\nthe\r\n5\r\n body\r\n" +
               "0\r\n\r\n";
    case piece::empty:
        return answer_head("own", "Transfer-Encoding: chunked\r\n") + "0\r\n\r\n";
    case piece::cut:
        return answer_head("own", length) + body.substr(1);
    case piece::cut_chunk:
        return answer_head("own", "Transfer-Encoding: chunked\r\n") + "3\r\nthe\r\n";
    case piece::unframed:
    case piece::reset:
        return answer_head("own", "") + body;
    case piece::oversized:
        return answer_head("own", "Content-Length: 4097\r\n") + std::string(4'097, 'x');
    default:
        return std::string("\x01\x02 not http\r\n\r\n", 15);
    }
}

bool ends_connection(piece what) {
    return what == piece::cut || what == piece::cut_chunk || what == piece::unframed ||
           what == piece::reset;
}

/** The body that the caller must receive, if any. The connection closes after the script. */
std::optional<std::string> expected_body(const std::vector<piece>& script) {
    int unmatched_answers = 0;
    for (const auto what : script) {
        if (what == piece::interim) {
            continue;
        }
        if (what == piece::unmatched && ++unmatched_answers <= max_unmatched_answers) {
            continue;
        }
        if (what == piece::empty) {
            return std::string();
        }
        const bool is_whole =
            what == piece::framed || what == piece::chunked || what == piece::unframed;
        return is_whole ? std::optional(body) : std::nullopt;
    }
    return std::nullopt;
}

std::optional<exchange_result> run_script(const std::vector<piece>& script,
                                          std::size_t piece_bytes) {
    boost::asio::io_context context(1);
    auto [local, peer] = test::make_pair(context);
    const auto link = std::make_shared<http_link>(std::move(local), max_body_bytes);
    link->start([](http_link&) {});
    std::optional<exchange_result> result;
    int answers = 0;
    link->exchange({"GET", "/", {}, "", "host"}, expected_echo, [&](exchange_result ended) {
        result = std::move(ended);
        ++answers;
    });
    test::read_available(context, peer); // closing with unread bytes would reset the connection
    for (const auto what : script) {
        test::write_in_pieces(context, peer, bytes_of(what), piece_bytes);
        if (what == piece::reset) {
            peer.set_option(boost::asio::socket_base::linger(true, 0));
        }
        if (ends_connection(what)) {
            break;
        }
    }
    boost::system::error_code ignored;
    peer.close(ignored);
    context.run_for(std::chrono::milliseconds(200));
    EXPECT_LE(answers, 1);
    EXPECT_FALSE(link->is_open());
    link->abandon();
    return result;
}

} // namespace

RC_GTEST_PROP(http_link, gives_the_own_answer_or_an_error, ()) {
    const auto kind = rc::gen::map(rc::gen::inRange(0, static_cast<int>(piece::count)),
                                   [](int number) { return static_cast<piece>(number); });
    const auto script = *rc::gen::container<std::vector<piece>>(kind);
    const auto piece_bytes = *rc::gen::inRange<std::size_t>(1, 200);
    for (const auto what : script) {
        RC_LOG() << "piece " << static_cast<int>(what) << "\n";
    }
    const auto result = run_script(script, piece_bytes);
    RC_ASSERT(result.has_value());
    const auto expected = expected_body(script);
    if (!expected) {
        RC_ASSERT(static_cast<bool>(result->code));
        RC_ASSERT(result->answer.status == 0);
        return;
    }
    RC_ASSERT(!result->code);
    RC_ASSERT(result->answer.body == *expected);
}

/** Sends the first bytes of an answer, ends the connection, and returns what the caller gets. */
exchange_result run_cut_short(std::string_view bytes, std::size_t length) {
    boost::asio::io_context context(1);
    auto [local, peer] = test::make_pair(context);
    const auto link = std::make_shared<http_link>(std::move(local), max_body_bytes);
    link->start([](http_link&) {});
    exchange_result result;
    int answers = 0;
    link->exchange({"GET", "/", {}, "", "host"}, expected_echo, [&](exchange_result ended) {
        result = std::move(ended);
        ++answers;
    });
    test::read_available(context, peer);
    test::write_in_pieces(context, peer, bytes.substr(0, length), max_body_bytes);
    boost::system::error_code ignored;
    peer.close(ignored);
    context.run_for(std::chrono::milliseconds(200));
    EXPECT_EQ(answers, 1) << length;
    link->abandon();
    return result;
}

// A server stops anywhere in its answer and closes; only one without a length may end so.
TEST(http_link, an_answer_cut_short_anywhere_is_not_whole) {
    const std::string unframed = bytes_of(piece::unframed);
    const auto head_bytes = unframed.size() - body.size();
    for (std::size_t length = 0; length < head_bytes; ++length) {
        EXPECT_TRUE(run_cut_short(unframed, length).code) << "unframed, " << length;
    }
    for (const auto what : {piece::framed, piece::chunked, piece::empty}) {
        const auto bytes = bytes_of(what);
        for (std::size_t length = 0; length < bytes.size(); ++length) {
            EXPECT_TRUE(run_cut_short(bytes, length).code)
                << static_cast<int>(what) << ", " << length;
        }
    }
}

TEST(http_link, is_not_used_again_after_bytes_that_belong_to_nobody) {
    boost::asio::io_context context(1);
    auto [local, peer] = test::make_pair(context);
    const auto link = std::make_shared<http_link>(std::move(local), max_body_bytes);
    bool lost = false;
    link->start([&](http_link&) { lost = true; });
    int answers = 0;
    link->exchange({"GET", "/", {}, "", "host"}, expected_echo,
                   [&](const exchange_result&) { ++answers; });
    test::write_in_pieces(context, peer, bytes_of(piece::framed), 1'000);
    ASSERT_EQ(answers, 1);
    ASSERT_TRUE(link->is_idle());
    test::write_in_pieces(context, peer, bytes_of(piece::unmatched), 10);
    EXPECT_TRUE(lost);
    EXPECT_FALSE(link->is_idle());
}

TEST(http_link, is_not_used_again_after_an_answer_that_came_before_the_request_was_out) {
    boost::asio::io_context context(1);
    auto [local, peer] = test::make_pair(context);
    const auto link = std::make_shared<http_link>(std::move(local), max_body_bytes);
    link->start([](http_link&) {});
    int answers = 0;
    // More than the buffers of both sockets hold, so that a part stays unsent.
    constexpr std::size_t long_body = 16U << 20U;
    link->exchange({"POST", "/", {}, std::string(long_body, 'x'), "host"}, expected_echo,
                   [&](const exchange_result& ended) { answers += ended.code ? 0 : 1; });
    test::write_in_pieces(context, peer, bytes_of(piece::framed), 1'000);
    EXPECT_EQ(answers, 1);
    EXPECT_FALSE(link->is_open());
}

} // namespace lavenderhoist::net
