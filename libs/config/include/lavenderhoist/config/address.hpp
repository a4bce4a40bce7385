#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lavenderhoist::config {

/** \brief An IP address and port. */
struct address {
    std::string host; ///< A numeric IP address; host names are not resolved.
    std::uint16_t port{0};

    auto operator<=>(const address&) const = default;
};

/** \brief Parses `host:port`. \returns nothing if the host is no numeric IP address, or the port is
 * missing or out of range. */
std::optional<address> parse_address(std::string_view text);

std::string to_string(const address& where);

} // namespace lavenderhoist::config
