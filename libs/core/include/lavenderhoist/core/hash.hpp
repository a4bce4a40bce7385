#pragma once

#include <cstdint>
#include <string_view>

namespace lavenderhoist {

/** \brief A 64-bit hash (FNV-1a with a final mix) that is equal on every host and in every version.
 */
std::uint64_t stable_hash(std::string_view text) noexcept;

/** \brief Mixes the bits of a 64-bit value (the finaliser of SplitMix64). */
std::uint64_t mix(std::uint64_t value) noexcept;

/** \brief The weight of `member` for `key` in rendezvous hashing; the maximum is chosen. */
std::uint64_t rendezvous_weight(std::uint64_t key, std::uint64_t member) noexcept;

} // namespace lavenderhoist
