#pragma once

#include "lavenderhoist/core/clock.hpp"
#include "lavenderhoist/mesh/directory.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lavenderhoist::agent {

/** \brief Control state, or the newer part of it, that a node fetches from another while it can't
 * reach the store or is behind. */
struct shared_state {
    std::uint64_t configuration_version{0};
    std::string configuration; ///< The document as published; empty if none is known.
    std::vector<mesh::stored_host_record> hosts;
    mesh::record_position position; ///< All host records up to it are known.
};

/** \brief How recent a node's control state is. */
struct shared_versions {
    std::uint64_t configuration{0};
    mesh::record_position position; ///< All host records up to it are known.
    bool reads_store{true};         ///< It receives records as the store appends them.
    /** Age of its knowledge of configurations: how long ago the store is known to have had nothing
     * newer. Nodes of earlier versions send none. */
    std::optional<duration> configuration_age{};
};

std::string encode(const shared_versions& versions);

/** \returns nothing if the text is not an encoded shared_versions. */
std::optional<shared_versions> decode_versions(std::string_view text);

/** \brief Encodes what a peer with the given versions lacks. */
std::string encode_newer(const shared_state& state, const shared_versions& known);

/** \returns nothing if the text is not an encoded shared_state. */
std::optional<shared_state> decode_shared_state(std::string_view text);

} // namespace lavenderhoist::agent
