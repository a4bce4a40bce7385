#include "lavenderhoist/routing/target_state.hpp"

#include <algorithm>

namespace lavenderhoist::routing {

bool target_state::is_available(time_point now) const noexcept {
    if (is_ejected(now)) {
        return false;
    }
    return !is_recovering() || in_flight_ < recovery_calls_;
}

void target_state::on_answer() noexcept {
    --in_flight_;
    failures_ = 0;
    ejection_time_ = base_ejection_time;
    recovery_calls_ = std::min(recovery_calls_ * 2, max_recovery_calls);
}

bool target_state::on_failure(time_point now) noexcept {
    --in_flight_;
    ++failures_;
    if (is_ejected(now)) {
        return false;
    }
    if (failures_ < failures_to_eject && recovery_calls_ > 1) {
        recovery_calls_ = is_recovering() ? recovery_calls_ / 2 : recovery_calls_;
        return false;
    }
    ejected_until_ = now + ejection_time_;
    ejection_time_ = std::min(ejection_time_ * 2, max_ejection_time);
    recovery_calls_ = 1;
    return true;
}

} // namespace lavenderhoist::routing
