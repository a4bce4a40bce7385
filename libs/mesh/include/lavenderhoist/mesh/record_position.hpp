#pragma once

#include <compare>
#include <cstdint>

namespace lavenderhoist::mesh {

/**
 * \brief Position of a record in the history of a topic.
 *
 * Offsets order the records of one era. A store that was restored from a copy begins a new era and
 * may give out offsets again, so positions are ordered by era first.
 */
struct record_position {
    std::int64_t era{0};
    std::int64_t offset{-1}; ///< -1: before the first record.

    auto operator<=>(const record_position&) const = default;
};

} // namespace lavenderhoist::mesh
