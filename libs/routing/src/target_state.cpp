#include "lavenderhoist/routing/target_state.hpp"

#include <algorithm>

namespace lavenderhoist::routing {

bool target_state::is_available(time_point now) const noexcept {
    if (is_ejected(now)) {
        return false;
    }
    return !is_probing_ || in_flight_ == 0;
}

void target_state::on_answer() noexcept {
    --in_flight_;
    failures_ = 0;
    ejection_time_ = base_ejection_time;
    is_probing_ = false;
}

bool target_state::on_failure(time_point now) noexcept {
    --in_flight_;
    ++failures_;
    if (is_ejected(now) || (failures_ < failures_to_eject && !is_probing_)) {
        return false;
    }
    ejected_until_ = now + ejection_time_;
    ejection_time_ = std::min(ejection_time_ * 2, max_ejection_time);
    is_probing_ = true;
    return true;
}

} // namespace lavenderhoist::routing
