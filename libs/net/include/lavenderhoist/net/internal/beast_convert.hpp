#pragma once

#include "lavenderhoist/net/message.hpp"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace lavenderhoist::net::internal {

using beast_request = boost::beast::http::request<boost::beast::http::string_body>;
using beast_response = boost::beast::http::response<boost::beast::http::string_body>;

/** \brief Copies the end-to-end fields of a Beast message, names in lower case. */
headers fields_of(const boost::beast::http::fields& source);

beast_request to_beast(const request& message, const std::string& host);
beast_response to_beast(const response& message, bool keep_alive);

/** Larger bodies are sent on their own, without a copy. */
inline constexpr std::size_t max_copied_body_bytes = 16U << 10U;

/** \brief The bytes of a message up to its body, which has `body_bytes`. */
std::string serialize_head(const request& message, std::size_t body_bytes);
std::string serialize_head(const response& message, bool keep_alive, std::size_t body_bytes);

/** \brief The bytes of a whole message. */
std::string serialize(const beast_request& message);
std::string serialize(const beast_response& message);

/**
 * \brief True if the end of the body is known: by a length, by `chunked` alone, or no body.
 *
 * Beast treats a body with another transfer coding as empty, so that the bytes of the body would
 * be read as further requests (RFC 9112 section 6.3).
 */
bool has_known_framing(const beast_request& message);

request from_beast(beast_request&& message);
response from_beast(beast_response&& message);

} // namespace lavenderhoist::net::internal
