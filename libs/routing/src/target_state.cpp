#include "lavenderhoist/routing/target_state.hpp"

#include <algorithm>

namespace lavenderhoist::routing {

bool target_state::is_available(time_point now) const noexcept {
    if (is_ejected(now)) {
        return false;
    }
    return !is_on_trial_ || in_flight_ == 0;
}

void target_state::on_answer() noexcept {
    --in_flight_;
    failures_ = 0;
    ejection_ = base_ejection_time;
    is_on_trial_ = false;
}

bool target_state::on_failure(time_point now) noexcept {
    --in_flight_;
    ++failures_;
    if (is_ejected(now) || (failures_ < failures_to_eject && !is_on_trial_)) {
        return false;
    }
    ejected_until_ = now + ejection_;
    ejection_ = std::min(ejection_ * 2, max_ejection_time);
    is_on_trial_ = true;
    return true;
}

} // namespace lavenderhoist::routing
