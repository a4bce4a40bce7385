#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <string_view>

namespace lavenderhoist::quarantine {

/**
 * \brief Identifies requests that do the same at a target, whatever their ids and entries.
 *
 * Whether a target ends under a request may depend on its caller or not. So both digests are
 * suspected, and each one is cleared by requests that share it.
 */
struct request_digests {
    std::uint64_t content{0};     ///< Method, path and body.
    std::uint64_t with_caller{0}; ///< The same, and the service on whose host it entered.

    std::array<std::uint64_t, 2> all() const noexcept { return {content, with_caller}; }

    auto operator<=>(const request_digests&) const = default;
};

request_digests digests_of(std::string_view method, std::string_view path, std::string_view caller,
                           std::string_view body) noexcept;

} // namespace lavenderhoist::quarantine
