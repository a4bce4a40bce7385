#pragma once

#include <cstdint>
#include <span>
#include <vector>

namespace lavenderhoist::routing {

/** \brief A target as the choice of a subset sees it. */
struct subset_member {
    std::uint64_t id_hash{0};
    bool is_local{false};
};

/**
 * \brief Chooses the targets of a service that one entry talks to, so that connections stay
 * bounded.
 *
 * Rendezvous hashing: entries choose different subsets, and a change of membership moves few of
 * them. Members of the own data centre come first.
 * \returns indices into `members`, at most `size` of them.
 */
std::vector<std::size_t> choose_subset(std::span<const subset_member> members,
                                       std::uint64_t entry_hash, std::size_t size);

} // namespace lavenderhoist::routing
