#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include <cstddef>
#include <optional>
#include <string_view>

namespace lavenderhoist::net::internal {

/** Bytes that a parser has not consumed yet: an incomplete head, chunk head or trailer. The parser
 * of Beast 1.81 bounds only the head. */
inline constexpr std::size_t max_unparsed_bytes = 64U << 10U;

/** Interim answers (RFC 9110 section 15.2) before the final one; servers send one or two. */
inline constexpr int max_interim_answers = 16;

/** \brief True if the code is one of HTTP (RFC 9110 section 15). The parser of Beast 1.81 takes any
 * three digits. */
constexpr bool is_valid_status(unsigned code) noexcept {
    return code >= 100 && code <= 599;
}

/**
 * \brief Feeds bytes to the parser of one message until it needs more than there are.
 *
 * While a chunked body is incomplete, at least `0 CRLF CRLF` must still arrive, and the parser of
 * Beast 1.81 must not be called with fewer bytes: after the first line of the last chunk it
 * asserts that the rest of it is present.
 *
 * \param failed why the bytes are not a valid message; clear if more bytes are needed.
 * \returns the number of bytes consumed; pass the others again, followed by the next ones.
 */
template <bool is_request, typename Body>
std::size_t feed(boost::beast::http::parser<is_request, Body>& parser, std::string_view bytes,
                 boost::system::error_code& failed) {
    constexpr std::size_t last_chunk_bytes = 5;
    std::size_t used = 0;
    failed = {};
    while (!parser.is_done() && used < bytes.size() && !failed) {
        const auto rest = bytes.substr(used);
        const bool is_between_chunks = parser.is_header_done() && parser.chunked();
        if (is_between_chunks && rest.size() < last_chunk_bytes) {
            break;
        }
        used += parser.put(boost::asio::buffer(rest), failed);
    }
    if (failed == boost::beast::http::error::need_more) {
        failed = {};
    }
    return used;
}

/**
 * \brief Reads one whole message. Bytes after it stay in `buffer`.
 *
 * \returns `end_of_stream` if the connection ends before its first byte.
 */
template <bool is_request, typename Body>
boost::asio::awaitable<boost::system::error_code>
read_message(boost::asio::ip::tcp::socket& socket, boost::beast::flat_buffer& buffer,
             boost::beast::http::parser<is_request, Body>& parser) {
    constexpr std::size_t read_bytes = 16U << 10U;
    boost::system::error_code failed;
    parser.eager(true);
    while (true) {
        const auto unparsed = buffer.data();
        const std::string_view bytes(static_cast<const char*>(unparsed.data()), unparsed.size());
        buffer.consume(feed(parser, bytes, failed));
        if (failed || parser.is_done()) {
            co_return failed;
        }
        if (buffer.size() > max_unparsed_bytes) {
            co_return boost::beast::http::make_error_code(
                boost::beast::http::error::buffer_overflow);
        }
        const auto free_space = buffer.prepare(read_bytes);
        const auto length = co_await socket.async_read_some(
            free_space, boost::asio::redirect_error(boost::asio::use_awaitable, failed));
        buffer.commit(length);
        if (failed == boost::asio::error::eof && parser.got_some()) {
            failed = {};
            parser.put_eof(failed);
            co_return failed;
        }
        if (failed) {
            co_return failed == boost::asio::error::eof
                ? boost::beast::http::make_error_code(boost::beast::http::error::end_of_stream)
                : failed;
        }
    }
}

/**
 * \brief Reads the final answer to a request; interim ones are skipped.
 * \param parser holds the answer if there is no error.
 */
template <typename Body>
boost::asio::awaitable<boost::system::error_code>
read_answer(boost::asio::ip::tcp::socket& socket, boost::beast::flat_buffer& buffer,
            std::optional<boost::beast::http::response_parser<Body>>& parser,
            std::size_t max_body_bytes) {
    constexpr unsigned first_final_status = 200;
    for (int interim = 0; interim <= max_interim_answers; ++interim) {
        parser.emplace();
        parser->body_limit(max_body_bytes);
        const auto failed = co_await read_message(socket, buffer, *parser);
        if (!failed && !is_valid_status(parser->get().result_int())) {
            break;
        }
        if (failed || parser->get().result_int() >= first_final_status) {
            co_return failed;
        }
    }
    co_return boost::beast::http::make_error_code(boost::beast::http::error::bad_status);
}

} // namespace lavenderhoist::net::internal
