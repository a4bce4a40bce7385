#pragma once

#include "lavenderhoist/membership/member.hpp"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lavenderhoist::membership {

/** \brief Number of parts that the member list is divided into for comparison. */
inline constexpr std::size_t digest_parts = 16;

using digest = std::array<std::uint64_t, digest_parts>;

/** \brief Message that two members exchange, in both directions. */
struct gossip_message {
    std::string from;
    std::int64_t wall_ms{0}; ///< Sender's wall clock, to detect clock differences beyond the bound.
    digest member_digest{};  ///< Of the sender's member list.
    std::uint64_t record_digest{0}; ///< Digest of the sender's records; opaque to this library.
    std::vector<member> members;    ///< Recent changes; in responses also the parts that differed.
};

std::string encode(const gossip_message& message);

/** \returns nothing if the text is not a gossip message. */
std::optional<gossip_message> decode_gossip(std::string_view text);

} // namespace lavenderhoist::membership
