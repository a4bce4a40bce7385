#include "lavenderhoist/core/key.hpp"

#include "lavenderhoist/core/hash.hpp"

namespace lavenderhoist {
namespace {

constexpr std::size_t text_length = 36;
constexpr std::size_t time_bytes = 6;
constexpr std::size_t version_byte = 6;
constexpr std::size_t variant_byte = 8;

bool is_dash_position(std::size_t i) noexcept {
    return i == 8 || i == 13 || i == 18 || i == 23;
}

int hex_value(char c) noexcept {
    if (c >= '0' && c <= '9') {
        return c - '0';
    }
    if (c >= 'a' && c <= 'f') {
        return c - 'a' + 10;
    }
    if (c >= 'A' && c <= 'F') {
        return c - 'A' + 10;
    }
    return -1;
}

} // namespace

std::optional<key> key::parse(std::string_view text) noexcept {
    if (text.size() != text_length) {
        return std::nullopt;
    }
    key result;
    std::size_t digit = 0;
    for (std::size_t i = 0; i < text_length; ++i) {
        if (is_dash_position(i)) {
            if (text[i] != '-') {
                return std::nullopt;
            }
            continue;
        }
        const int value = hex_value(text[i]);
        if (value < 0) {
            return std::nullopt;
        }
        auto& byte = result.bytes_[digit / 2];
        byte = static_cast<std::uint8_t>((byte << 4U) | static_cast<unsigned>(value));
        ++digit;
    }
    const bool version_7 = (result.bytes_[version_byte] >> 4U) == 7;
    const bool rfc_variant = (result.bytes_[variant_byte] >> 6U) == 2;
    if (!version_7 || !rfc_variant) {
        return std::nullopt;
    }
    return result;
}

key key::make(std::chrono::milliseconds now, std::array<std::uint64_t, 2> random) noexcept {
    key result;
    const auto stamp = static_cast<std::uint64_t>(now.count());
    for (std::size_t i = 0; i < time_bytes; ++i) {
        result.bytes_[i] = static_cast<std::uint8_t>(stamp >> (8U * (time_bytes - 1 - i)));
    }
    for (std::size_t i = time_bytes; i < result.bytes_.size(); ++i) {
        result.bytes_[i] = static_cast<std::uint8_t>(random[i / 8] >> (8U * (i % 8)));
    }
    result.bytes_[version_byte] =
        static_cast<std::uint8_t>(0x70U | (result.bytes_[version_byte] & 0x0fU));
    result.bytes_[variant_byte] =
        static_cast<std::uint8_t>(0x80U | (result.bytes_[variant_byte] & 0x3fU));
    return result;
}

std::chrono::milliseconds key::issued_at() const noexcept {
    std::uint64_t stamp = 0;
    for (std::size_t i = 0; i < time_bytes; ++i) {
        stamp = (stamp << 8U) | bytes_[i];
    }
    return std::chrono::milliseconds(static_cast<std::int64_t>(stamp));
}

std::uint64_t key::hash() const noexcept {
    std::uint64_t value = 0;
    for (const auto byte : bytes_) {
        value = mix(value ^ byte);
    }
    return value;
}

std::string key::to_string() const {
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(text_length);
    for (const auto byte : bytes_) {
        if (is_dash_position(text.size())) {
            text += '-';
        }
        text += digits[byte >> 4U];
        text += digits[byte & 0x0fU];
    }
    return text;
}

} // namespace lavenderhoist
