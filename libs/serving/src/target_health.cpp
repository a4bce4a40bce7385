#include "lavenderhoist/serving/target_health.hpp"

#include <algorithm>

namespace lavenderhoist::node {

void target_health::on_answered() noexcept {
    failures_ = 0;
    pause_ = min_pause;
}

void target_health::on_failed(time_point now) noexcept {
    if (!is_healthy(now)) {
        return;
    }
    if (failures_ == 0) {
        first_failure_at_ = now;
    }
    ++failures_;
    if (failures_ < min_failures || now - first_failure_at_ < min_failure_span) {
        return;
    }
    unhealthy_until_ = now + pause_;
    pause_ = std::min(pause_ * 2, max_pause);
    failures_ = 0;
}

} // namespace lavenderhoist::node
