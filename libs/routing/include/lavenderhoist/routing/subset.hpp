#pragma once

#include <cstdint>
#include <span>
#include <vector>

namespace lavenderhoist::routing {

/** \brief The properties of a target that the choice of a subset depends on. */
struct subset_member {
    std::uint64_t id_hash{0};
    bool is_local{false};
};

/**
 * \brief Chooses the targets of a service to which one entry connects, which bounds the number of
 * connections.
 *
 * Uses rendezvous hashing: entries choose different subsets, and a change of membership changes few
 * of their members. Members in the local data centre come first.
 * \returns indices into `members`, at most `size` of them.
 */
std::vector<std::size_t> choose_subset(std::span<const subset_member> members,
                                       std::uint64_t entry_hash, std::size_t size);

} // namespace lavenderhoist::routing
