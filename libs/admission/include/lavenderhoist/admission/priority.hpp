#pragma once

#include <cstdint>

namespace lavenderhoist::admission {

/**
 * \brief The place of a request in the order of shedding: lower values are shed first.
 *
 * The rank of the class decides first, then the cohort of the root request. All calls of one chain
 * share the root's value, so that all hops agree on which chains to shed (the idea of DAGOR,
 * "Overload Control for Scaling WeChat Microservices", SoCC 2018).
 */
using priority = int;

inline constexpr int cohorts = 128;

/** \brief The highest rank that a class may have. */
inline constexpr int max_class_rank = 7;

/** \brief The rank of requests that are let in for the share that their class is guaranteed. */
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

/** \brief The rank of the class that a priority was made of. */
constexpr int rank_of(priority value) noexcept {
    return value / cohorts;
}

} // namespace lavenderhoist::admission
