#include "lavenderhoist/serving/target_health.hpp"

#include <algorithm>

namespace lavenderhoist::node {

void target_health::on_answered() noexcept {
    failures_ = 0;
    pause_ = first_pause;
}

void target_health::on_failed(time_point now) noexcept {
    if (!is_fit(now)) {
        return;
    }
    if (failures_ == 0) {
        first_failure_ = now;
    }
    ++failures_;
    if (failures_ < failures_to_unfit || now - first_failure_ < unfit_after) {
        return;
    }
    unfit_until_ = now + pause_;
    pause_ = std::min(pause_ * 2, longest_pause);
    failures_ = 0;
}

} // namespace lavenderhoist::node
