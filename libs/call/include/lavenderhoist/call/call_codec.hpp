#pragma once

#include "lavenderhoist/call/call.hpp"
#include "lavenderhoist/net/message.hpp"

#include <optional>
#include <string_view>

namespace lavenderhoist::node {

/**
 * \brief Prefix of the header fields that lavenderhoist reserves for itself; fields with it are
 * removed from the messages of callers and targets.
 */
inline constexpr std::string_view reserved_header_prefix = "lh-";

/**
 * \brief Encodes a call as a request for an HTTP/2 stream.
 * \param now the deadline is sent as the time left from this moment.
 */
net::request encode_call(const call& outgoing, std::string_view secret, time_point now);

/**
 * \brief Decodes a call that another node sent.
 * \param now the deadline is this moment plus the time left that was sent.
 * \returns nothing if the secret differs or the time left is missing or malformed.
 */
std::optional<call> decode_call(net::request&& message, std::string_view secret, time_point now);

net::response encode_answer(const call_answer& answer);
call_answer decode_answer(net::response&& message);

/** \brief Compares secrets; the time taken does not depend on where they differ. */
bool is_same_secret(std::string_view given, std::string_view expected) noexcept;

/** \brief Parses a decimal integer; the whole text must be consumed. */
std::optional<std::int64_t> parse_integer(std::string_view text) noexcept;

} // namespace lavenderhoist::node
