#pragma once

#include "lavenderhoist/call/call.hpp"
#include "lavenderhoist/net/message.hpp"

#include <optional>
#include <string_view>

namespace lavenderhoist::node {

/** \brief Prefix of every header field of the system; stripped from what callers and targets send.
 */
inline constexpr std::string_view reserved_header_prefix = "lh-";

/** \brief Packs a call into a request for an HTTP/2 stream. \param now turns the deadline relative.
 */
net::request encode_call(const call& outgoing, std::string_view secret, time_point now);

/** \returns nothing if the message is not a call of a node that knows the secret. */
std::optional<call> decode_call(net::request&& message, std::string_view secret, time_point now);

net::response encode_answer(const call_answer& answer);
call_answer decode_answer(net::response&& message);

/** \brief Compares secrets in a time that does not depend on where they differ. */
bool is_same_secret(std::string_view given, std::string_view expected) noexcept;

/** \brief Parses a decimal integer that fills the whole text. */
std::optional<std::int64_t> parse_integer(std::string_view text) noexcept;

} // namespace lavenderhoist::node
