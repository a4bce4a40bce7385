#pragma once

#include "lavenderhoist/core/clock.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lavenderhoist::quarantine {

/** \brief One request that a target was running as it ended. */
struct suspicion {
    std::uint64_t request{0}; ///< Digest of the request.
    std::uint64_t end{0};     ///< Identifies the end: the start of the target that ended.
    milliseconds seen_at{0};  ///< Wall-clock time of the end.
    bool is_cleared{false};   ///< The request has been run to its end since.

    bool operator==(const suspicion&) const = default;
};

std::string encode(std::span<const suspicion> suspicions);

/** \brief Decodes suspicions; malformed ones are left out.
 * \returns nothing if the text is no list. */
std::optional<std::vector<suspicion>> decode_suspicions(std::string_view text);

} // namespace lavenderhoist::quarantine
