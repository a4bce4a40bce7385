#include "lavenderhoist/config/address.hpp"

#include <charconv>

namespace lavenderhoist::config {

std::optional<address> parse_address(std::string_view text) {
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0) {
        return std::nullopt;
    }
    address result;
    result.host = text.substr(0, colon);
    const auto digits = text.substr(colon + 1);
    const auto* const end = digits.data() + digits.size();
    const auto parsed = std::from_chars(digits.data(), end, result.port);
    if (parsed.ec != std::errc() || parsed.ptr != end || result.port == 0) {
        return std::nullopt;
    }
    return result;
}

std::string to_string(const address& where) {
    return where.host + ":" + std::to_string(where.port);
}

} // namespace lavenderhoist::config
