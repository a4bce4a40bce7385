#pragma once

#include "lavenderhoist/core/clock.hpp"

#include <optional>

namespace lavenderhoist::agent::internal {

/**
 * \brief Detects that the local version has stopped advancing behind the versions of peers, as
 * opposed to a lag that is still being caught up.
 *
 * Successive comparisons may be with different peers: one that is as far behind does not end a lag
 * that another one has shown.
 *
 * \tparam Version an ordered type.
 */
template <typename Version>
class lag_detector {
public:
    /**
     * \brief Records a comparison with a peer.
     * \param max_lag how long the local version may stay unchanged once a peer's was newer.
     * \returns true if it has stayed unchanged for longer.
     */
    bool on_comparison(const Version& local_version, const Version& peer_version, duration max_lag,
                       time_point now) {
        if (local_version != local_version_) {
            local_version_ = local_version;
            behind_since_.reset();
        }
        if (local_version < peer_version && !behind_since_) {
            behind_since_ = now;
        }
        return behind_since_ && now - *behind_since_ > max_lag;
    }

private:
    Version local_version_{};                ///< At the last comparison.
    std::optional<time_point> behind_since_; ///< Since when `local_version_` is behind.
};

} // namespace lavenderhoist::agent::internal
