#pragma once

#include <array>
#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lavenderhoist {

/**
 * \brief An idempotency key: a UUID of version 7 (RFC 9562), which contains its time of issue.
 */
class key {
public:
    key() = default;

    /** \brief Parses the 36-character form. \returns nothing unless it is a UUID of version 7. */
    static std::optional<key> parse(std::string_view text) noexcept;

    /** \brief Makes a key issued at `now`. \param random 74 of these 128 bits are used. */
    static key make(std::chrono::milliseconds now, std::array<std::uint64_t, 2> random) noexcept;

    /** \brief Time of issue, in milliseconds since 1970. */
    std::chrono::milliseconds issued_at() const noexcept;

    /** \brief Hash that determines the owner; the same on every host. */
    std::uint64_t hash() const noexcept;

    std::string to_string() const;

    auto operator<=>(const key&) const = default;

private:
    std::array<std::uint8_t, 16> bytes_{};
};

} // namespace lavenderhoist
