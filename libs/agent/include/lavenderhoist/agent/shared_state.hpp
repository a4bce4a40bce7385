#pragma once

#include "lavenderhoist/mesh/directory.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lavenderhoist::agent {

/** \brief What nodes tell each other while one of them can't reach the store. */
struct shared_state {
    std::string configuration; ///< As operators wrote it; empty if none is known.
    std::vector<mesh::stored_host_record> hosts;
};

/** \brief How new a node's state is. */
struct shared_versions {
    std::uint64_t configuration{0};
    std::int64_t newest_host{-1}; ///< Highest offset of its host records.
};

std::string encode(const shared_versions& versions);
std::optional<shared_versions> decode_versions(std::string_view text);

std::string encode(const shared_state& state);

/** \returns nothing if the text is no such state. */
std::optional<shared_state> decode_shared_state(std::string_view text);

} // namespace lavenderhoist::agent
