#include "lavenderhoist/core/outcome.hpp"

#include <array>

namespace lavenderhoist {
namespace {

constexpr std::array<std::string_view, 4> names{"completed", "not-run", "refused", "unknown"};

} // namespace

std::string_view to_string(outcome value) noexcept {
    return names[static_cast<std::size_t>(value)];
}

std::optional<outcome> parse_outcome(std::string_view name) noexcept {
    for (std::size_t i = 0; i < names.size(); ++i) {
        if (names[i] == name) {
            return static_cast<outcome>(i);
        }
    }
    return std::nullopt;
}

} // namespace lavenderhoist
