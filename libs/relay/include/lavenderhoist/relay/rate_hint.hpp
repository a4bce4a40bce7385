#pragma once

#include <cstdint>

namespace lavenderhoist::relay {

/** \brief A limit that an entry knows a target to have named; the target's node may have been
 * restarted since. */
struct rate_hint {
    double per_second{0};
    std::int64_t target_started_at_ms{0}; ///< Start of the target that the limit belongs to.
};

} // namespace lavenderhoist::relay
