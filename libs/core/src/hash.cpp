#include "lavenderhoist/core/hash.hpp"

namespace lavenderhoist {

std::uint64_t mix(std::uint64_t value) noexcept {
    value += 0x9e3779b97f4a7c15ULL;
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31U);
}

std::uint64_t stable_hash(std::string_view text) noexcept {
    constexpr std::uint64_t fnv_offset = 0xcbf29ce484222325ULL;
    constexpr std::uint64_t fnv_prime = 0x100000001b3ULL;
    std::uint64_t value = fnv_offset;
    for (const char c : text) {
        value = (value ^ static_cast<unsigned char>(c)) * fnv_prime;
    }
    return mix(value);
}

std::uint64_t rendezvous_weight(std::uint64_t key, std::uint64_t member) noexcept {
    return mix(key ^ mix(member));
}

} // namespace lavenderhoist
