#include "lavenderhoist/net/headers.hpp"

#include <algorithm>
#include <array>

namespace lavenderhoist::net {

std::string_view find_header(const headers& fields, std::string_view name) noexcept {
    const auto found = std::ranges::find(fields, name, &header::name);
    return found == fields.end() ? std::string_view() : std::string_view(found->value);
}

void remove_headers_with_prefix(headers& fields, std::string_view prefix) {
    std::erase_if(fields, [prefix](const header& field) { return field.name.starts_with(prefix); });
}

bool is_hop_by_hop(std::string_view name) noexcept {
    constexpr std::array<std::string_view, 9> names{
        "connection", "keep-alive", "proxy-connection", "transfer-encoding", "upgrade", "te",
        "trailer",    "host",       "content-length"};
    return std::ranges::find(names, name) != names.end();
}

} // namespace lavenderhoist::net
