#pragma once

#include <cstdint>
#include <string>

namespace lavenderhoist::mesh {

/** \brief Names one start of a target. Start times of one host are not ordered: its clock may jump
 * between two starts. */
struct target_start {
    std::string id;
    std::int64_t started_at_ms{0}; ///< Unix time, as the target says.

    bool operator==(const target_start&) const = default;
};

} // namespace lavenderhoist::mesh
