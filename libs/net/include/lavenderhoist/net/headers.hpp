#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace lavenderhoist::net {

/** \brief One header field; names are lower case. */
struct header {
    std::string name;
    std::string value;
};

using headers = std::vector<header>;

/** \brief The value of the first field of that name, or an empty view. */
std::string_view find_header(const headers& fields, std::string_view name) noexcept;

/** \brief Removes every field whose name starts with `prefix`. */
void remove_headers_with_prefix(headers& fields, std::string_view prefix);

/** \brief True for fields that concern one connection only (RFC 9110 section 7.6.1). */
bool is_hop_by_hop(std::string_view name) noexcept;

} // namespace lavenderhoist::net
