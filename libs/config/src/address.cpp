#include "lavenderhoist/config/address.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>

#include <array>
#include <charconv>

namespace lavenderhoist::config {

namespace {

bool is_ip_address(const std::string& host) {
    std::array<unsigned char, sizeof(in6_addr)> ignored{};
    return inet_pton(AF_INET, host.c_str(), ignored.data()) == 1 ||
           inet_pton(AF_INET6, host.c_str(), ignored.data()) == 1;
}

} // namespace

std::optional<address> parse_address(std::string_view text) {
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0) {
        return std::nullopt;
    }
    address result;
    result.host = text.substr(0, colon);
    if (!is_ip_address(result.host)) {
        return std::nullopt;
    }
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
