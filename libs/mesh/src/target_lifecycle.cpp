#include "lavenderhoist/mesh/target_lifecycle.hpp"

namespace lavenderhoist::mesh {

void target_lifecycle::restore(const host_record& last) {
    const bool is_bound = last.state == target_state::leaving || last.state == target_state::gone;
    if (!is_bound || last.target_id.empty()) {
        return;
    }
    left_id_ = last.target_id;
    left_born_ms_ = last.target_started_at_ms;
    if (known_ && has_left(*known_)) {
        state_ = last.state;
    }
}

bool target_lifecycle::is_older(const announcement& heard) const {
    if (!known_) {
        return false;
    }
    if (heard.started_at_ms != known_->started_at_ms) {
        return heard.started_at_ms < known_->started_at_ms;
    }
    return heard.id == known_->id && heard.sequence < known_->sequence;
}

bool target_lifecycle::has_left(const announcement& heard) const {
    return heard.id == left_id_ && heard.started_at_ms <= left_born_ms_;
}

lifecycle_change target_lifecycle::on_announcement(const announcement& heard) {
    if (is_older(heard)) {
        return lifecycle_change::outdated;
    }
    const bool is_same =
        known_ && known_->id == heard.id && known_->started_at_ms == heard.started_at_ms;
    if (is_same && state_ == target_state::gone) {
        return lifecycle_change::none; // signed off; a beat was still on its way
    }
    const bool has_changed =
        is_same && (known_->slots != heard.slots ||
                    (known_->cold_left.count() > 0) != (heard.cold_left.count() > 0));
    known_ = heard;
    if (heard.leaving || has_left(heard) || (is_same && state_ == target_state::leaving)) {
        const bool is_known = is_same && state_ == target_state::leaving;
        state_ = target_state::leaving;
        return is_known ? lifecycle_change::none : lifecycle_change::leaving;
    }
    state_ = target_state::ready;
    if (!is_same) {
        return lifecycle_change::started;
    }
    return has_changed ? lifecycle_change::refreshed : lifecycle_change::none;
}

lifecycle_change target_lifecycle::on_sign_off(const std::string& id,
                                               std::optional<std::int64_t> started_at_ms) {
    if (!known_ || known_->id != id) {
        // Its announcement may still be on its way, or this process has just been started.
        left_id_ = id;
        left_born_ms_ = started_at_ms.value_or(wall_time().count());
        return known_ ? lifecycle_change::none : lifecycle_change::gone;
    }
    if (started_at_ms && *started_at_ms < known_->started_at_ms) {
        return lifecycle_change::outdated;
    }
    if (state_ == target_state::gone) {
        return lifecycle_change::none;
    }
    state_ = target_state::gone;
    return lifecycle_change::gone;
}

} // namespace lavenderhoist::mesh
