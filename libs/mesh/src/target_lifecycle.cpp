#include "lavenderhoist/mesh/target_lifecycle.hpp"

#include <utility>

namespace lavenderhoist::mesh {
namespace {

target_start start_of(const announcement& from) {
    return {from.id, from.started_at_ms};
}

} // namespace

void target_lifecycle::restore(const host_record& last) {
    restored_started_at_ms_ = last.target_started_at_ms;
    if (current_ && current_->started_at_ms < restored_started_at_ms_) {
        // It was announced before the record was read, and may have been replaced before.
        contender_ = {start_of(*current_), runtime_clock::now(), current_->sequence};
        current_.reset();
        state_ = target_state::none;
    }
    on_recorded_departure(last);
}

lifecycle_change target_lifecycle::on_recorded_departure(const host_record& record) {
    const bool has_departed =
        record.state == target_state::leaving || record.state == target_state::gone;
    if (!has_departed || record.target_id.empty()) {
        return lifecycle_change::none;
    }
    const target_start start{record.target_id, record.target_started_at_ms};
    departed_.add(start);
    if (!is_current(start) || state_ >= record.state) {
        return lifecycle_change::none;
    }
    state_ = record.state;
    return state_ == target_state::gone ? lifecycle_change::gone : lifecycle_change::leaving;
}

const announcement* target_lifecycle::unconfirmed() const noexcept {
    return current_ && state_ == target_state::ready && !is_confirmed_ ? &*current_ : nullptr;
}

target_state target_lifecycle::state() const noexcept {
    return unconfirmed() != nullptr ? target_state::none : state_;
}

bool target_lifecycle::on_confirmed(const std::string& id, std::int64_t started_at_ms) {
    if (unconfirmed() == nullptr || !is_current({id, started_at_ms})) {
        return false;
    }
    is_confirmed_ = true;
    return true;
}

bool target_lifecycle::is_current(const target_start& start) const {
    return current_ && start_of(*current_) == start;
}

bool target_lifecycle::may_replace_current(const target_start& start) const {
    const auto newest = current_ ? current_->started_at_ms : restored_started_at_ms_;
    return start.started_at_ms >= newest && !replaced_.contains(start);
}

bool target_lifecycle::has_taken_over(const target_start& start,
                                      std::optional<std::uint64_t> sequence) {
    const auto now = runtime_clock::now();
    if (!contender_ || contender_->start != start) {
        contender_ = {start, now, sequence.value_or(0)};
        return false;
    }
    if (sequence && *sequence <= contender_->sequence) {
        return false; // the same message again, or a delayed one
    }
    contender_->sequence = sequence.value_or(contender_->sequence);
    return now - contender_->first_heard_at >= takeover_delay;
}

void target_lifecycle::replace_current(const announcement& with) {
    if (current_) {
        replaced_.add(start_of(*current_));
        // A delayed message of an earlier start looks like a new one if the clock was ahead then.
        const bool has_left = state_ == target_state::leaving || state_ == target_state::gone;
        is_confirmed_ = is_confirmed_ && !(has_left && current_->id == with.id);
    }
    replaced_.remove(start_of(with));
    contender_.reset();
    current_ = with;
}

lifecycle_change target_lifecycle::on_announcement(const announcement& received) {
    const auto start = start_of(received);
    if (is_current(start)) {
        contender_.reset();
        return on_current(received);
    }
    if (!may_replace_current(start) && !has_taken_over(start, received.sequence)) {
        return lifecycle_change::outdated;
    }
    replace_current(received);
    const bool is_leaving = received.leaving || departed_.contains(start);
    state_ = is_leaving ? target_state::leaving : target_state::ready;
    return is_leaving ? lifecycle_change::leaving : lifecycle_change::started;
}

lifecycle_change target_lifecycle::on_current(const announcement& received) {
    const bool is_late = received.sequence < current_->sequence;
    if (is_late && !received.leaving) {
        return lifecycle_change::outdated;
    }
    if (state_ == target_state::gone) {
        return lifecycle_change::none; // signed off; this announcement was delayed
    }
    const bool has_changed = current_->slots != received.slots ||
                             (current_->cold_left.count() > 0) != (received.cold_left.count() > 0);
    if (!is_late) {
        current_ = received;
    }
    if (state_ == target_state::leaving) {
        return lifecycle_change::none;
    }
    if (received.leaving) {
        state_ = target_state::leaving;
        return lifecycle_change::leaving;
    }
    return has_changed ? lifecycle_change::refreshed : lifecycle_change::none;
}

lifecycle_change target_lifecycle::adopt_departed(const target_start& start) {
    announcement departed;
    departed.id = start.id;
    departed.started_at_ms = start.started_at_ms;
    replace_current(departed);
    state_ = target_state::gone;
    return lifecycle_change::gone;
}

lifecycle_change target_lifecycle::on_sign_off(const std::string& id,
                                               std::optional<std::int64_t> started_at_ms) {
    if (!started_at_ms && (!current_ || current_->id != id)) {
        const target_start newest{id, wall_time().count()};
        departed_.add_through(newest);
        return current_ ? lifecycle_change::none : adopt_departed(newest);
    }
    const target_start start =
        started_at_ms ? target_start{id, *started_at_ms} : start_of(*current_);
    if (is_current(start)) {
        contender_.reset();
        const bool is_known = std::exchange(state_, target_state::gone) == target_state::gone;
        return is_known ? lifecycle_change::none : lifecycle_change::gone;
    }
    const bool is_other_id = current_ && current_->id != id;
    // Its announcement may be delayed, or this process has just started. The departure becomes the
    // host's published state, so that it is known after a restart too.
    if (may_replace_current(start) || (!is_other_id && has_taken_over(start, std::nullopt))) {
        departed_.add(start);
        return adopt_departed(start);
    }
    if (is_other_id) {
        departed_.add(start); // requests name the current target: none of them reaches this one
        return lifecycle_change::none;
    }
    return lifecycle_change::outdated;
}

lifecycle_change target_lifecycle::on_departure_notice(const std::string& id,
                                                       std::int64_t started_at_ms) {
    const bool is_known_departure =
        !is_current({id, started_at_ms}) || state_ != target_state::ready;
    if (is_known_departure) {
        return lifecycle_change::none; // has been replaced, or its departure is known
    }
    state_ = target_state::leaving;
    return lifecycle_change::leaving;
}

} // namespace lavenderhoist::mesh
