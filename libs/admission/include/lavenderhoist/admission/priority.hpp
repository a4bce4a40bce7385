#pragma once

#include <cstdint>

namespace lavenderhoist::admission {

/**
 * \brief The importance of a request for load shedding: lower values are shed first.
 *
 * The rank of the class decides first, then the cohort of the root request. All calls of one chain
 * share the root's value, so that all hops agree on which chains to shed (the idea of DAGOR,
 * "Overload Control for Scaling WeChat Microservices", SoCC 2018).
 */
using priority = int;

inline constexpr int cohorts = 128;

/** \brief The maximum rank of a class. */
inline constexpr int max_class_rank = 7;

/** \brief The rank of requests that are admitted under the guaranteed share of their class. */
inline constexpr int guaranteed_rank = max_class_rank + 1;

inline constexpr int ranks = guaranteed_rank + 1;

/** \brief A level that admits everything. */
inline constexpr priority open_level = 0;

/** \brief A level that admits nothing. */
inline constexpr priority closed_level = ranks * cohorts;

/** \brief Combines a rank (0 to ranks - 1) with the cohort of a root request's identity. */
constexpr priority make_priority(int rank, std::uint64_t root_hash) noexcept {
    return rank * cohorts + static_cast<int>(root_hash % cohorts);
}

/** \brief The rank that a priority contains. */
constexpr int rank_of(priority value) noexcept {
    return value / cohorts;
}

} // namespace lavenderhoist::admission
