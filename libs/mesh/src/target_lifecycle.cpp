#include "lavenderhoist/mesh/target_lifecycle.hpp"

namespace lavenderhoist::mesh {

void target_lifecycle::restore(const host_record& last) {
    const bool has_departed =
        last.state == target_state::leaving || last.state == target_state::gone;
    if (!has_departed || last.target_id.empty()) {
        return;
    }
    departed_id_ = last.target_id;
    departed_started_at_ms_ = last.target_started_at_ms;
    if (current_ && has_left(*current_)) {
        state_ = last.state;
    }
}

bool target_lifecycle::is_older(const announcement& received) const {
    if (!current_) {
        return false;
    }
    if (received.started_at_ms != current_->started_at_ms) {
        return received.started_at_ms < current_->started_at_ms;
    }
    return received.id == current_->id && received.sequence < current_->sequence;
}

bool target_lifecycle::has_left(const announcement& received) const {
    return received.id == departed_id_ && received.started_at_ms <= departed_started_at_ms_;
}

lifecycle_change target_lifecycle::on_announcement(const announcement& received) {
    if (is_older(received)) {
        return lifecycle_change::outdated;
    }
    const bool is_same = current_ && current_->id == received.id &&
                         current_->started_at_ms == received.started_at_ms;
    if (is_same && state_ == target_state::gone) {
        return lifecycle_change::none; // signed off; this announcement was delayed
    }
    const bool has_changed =
        is_same && (current_->slots != received.slots ||
                    (current_->cold_left.count() > 0) != (received.cold_left.count() > 0));
    current_ = received;
    if (received.leaving || has_left(received) || (is_same && state_ == target_state::leaving)) {
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
    if (!current_ || current_->id != id) {
        // Its announcement may be delayed, or this process has just started.
        departed_id_ = id;
        departed_started_at_ms_ = started_at_ms.value_or(wall_time().count());
        return current_ ? lifecycle_change::none : lifecycle_change::gone;
    }
    if (started_at_ms && *started_at_ms < current_->started_at_ms) {
        return lifecycle_change::outdated;
    }
    if (state_ == target_state::gone) {
        return lifecycle_change::none;
    }
    state_ = target_state::gone;
    return lifecycle_change::gone;
}

} // namespace lavenderhoist::mesh
