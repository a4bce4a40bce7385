#include "lavenderhoist/relay/target_notice.hpp"

#include "lavenderhoist/relay/wire_names.hpp"

#include <charconv>
#include <cmath>
#include <string_view>

namespace lavenderhoist::relay {

namespace {

constexpr std::string_view leaving_value = "1";

std::optional<double> parse_rate(std::string_view text) {
    double value = 0;
    const auto* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value, std::chars_format::fixed);
    if (parsed.ec != std::errc() || parsed.ptr != end || !std::isfinite(value) || value < 0) {
        return std::nullopt;
    }
    return value;
}

} // namespace

target_notice read_notice(const net::headers& fields, const wire_names& names) {
    target_notice notice;
    notice.is_leaving = net::find_header(fields, names.leaving) == leaving_value;
    const auto rate = net::find_header(fields, names.rate_limit);
    if (!rate.empty()) {
        notice.rate_limit = parse_rate(rate);
        notice.has_malformed_rate = !notice.rate_limit;
    }
    return notice;
}

} // namespace lavenderhoist::relay
