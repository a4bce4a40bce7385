#include "lavenderhoist/agent/internal/lag_detector.hpp"

namespace lavenderhoist::agent::internal {

bool lag_detector::on_comparison(std::int64_t local_version, std::int64_t peer_version,
                                 duration max_lag, time_point now) {
    if (peer_version <= local_version) {
        behind_since_.reset();
        return false;
    }
    if (!behind_since_ || local_version != local_version_) {
        local_version_ = local_version;
        behind_since_ = now;
    }
    return now - *behind_since_ > max_lag;
}

} // namespace lavenderhoist::agent::internal
