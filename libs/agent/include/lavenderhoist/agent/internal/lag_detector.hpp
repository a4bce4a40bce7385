#pragma once

#include "lavenderhoist/core/clock.hpp"

#include <cstdint>
#include <optional>

namespace lavenderhoist::agent::internal {

/**
 * \brief Detects that the local version has stopped advancing behind the versions of peers, as
 * opposed to a lag that is still being caught up.
 *
 * Successive comparisons may be with different peers.
 */
class lag_detector {
public:
    /**
     * \brief Records a comparison with a peer.
     * \param max_lag how long the local version may stay unchanged while a peer's is newer.
     * \returns true if it has stayed unchanged for longer.
     */
    bool on_comparison(std::int64_t local_version, std::int64_t peer_version, duration max_lag,
                       time_point now);

private:
    std::int64_t local_version_{0};          ///< At the last comparison that found it behind.
    std::optional<time_point> behind_since_; ///< Since when `local_version_` is behind.
};

} // namespace lavenderhoist::agent::internal
