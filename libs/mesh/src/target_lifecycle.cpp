#include "lavenderhoist/mesh/target_lifecycle.hpp"

#include <algorithm>

namespace lavenderhoist::mesh {
namespace {

/** A host runs one target after the other, and messages are delayed by seconds at most. */
constexpr std::size_t max_departed_starts = 16;

} // namespace

void target_lifecycle::restore(const host_record& last) {
    restored_started_at_ms_ = last.target_started_at_ms;
    on_recorded_departure(last);
}

lifecycle_change target_lifecycle::on_recorded_departure(const host_record& record) {
    const bool has_departed =
        record.state == target_state::leaving || record.state == target_state::gone;
    if (!has_departed || record.target_id.empty()) {
        return lifecycle_change::none;
    }
    record_departure(record.target_id, record.target_started_at_ms);
    if (!current_ || !has_left(*current_) || state_ >= record.state) {
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
    const auto* const asked = unconfirmed();
    if (asked == nullptr || asked->id != id || asked->started_at_ms != started_at_ms) {
        return false;
    }
    is_confirmed_ = true;
    return true;
}

void target_lifecycle::record_departure(const std::string& id, std::int64_t started_at_ms) {
    auto& departed = departed_starts_.try_emplace(id, started_at_ms).first->second;
    departed = std::max(departed, started_at_ms);
    if (departed_starts_.size() > max_departed_starts) {
        departed_starts_.erase(std::ranges::min_element(
            departed_starts_, {}, [](const auto& each) { return each.second; }));
    }
}

bool target_lifecycle::is_older(const announcement& received) const {
    const auto departed = departed_starts_.find(received.id);
    if (departed != departed_starts_.end() && received.started_at_ms < departed->second) {
        return true;
    }
    if (!current_) {
        return received.started_at_ms < restored_started_at_ms_;
    }
    if (received.started_at_ms != current_->started_at_ms) {
        return received.started_at_ms < current_->started_at_ms;
    }
    return received.id == current_->id && received.sequence < current_->sequence;
}

bool target_lifecycle::has_left(const announcement& received) const {
    const auto departed = departed_starts_.find(received.id);
    return departed != departed_starts_.end() && received.started_at_ms <= departed->second;
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

lifecycle_change target_lifecycle::adopt_departed(const std::string& id,
                                                  std::int64_t started_at_ms) {
    record_departure(id, started_at_ms);
    current_ = announcement{};
    current_->id = id;
    current_->started_at_ms = started_at_ms;
    state_ = target_state::gone;
    return lifecycle_change::gone;
}

lifecycle_change target_lifecycle::on_sign_off(const std::string& id,
                                               std::optional<std::int64_t> started_at_ms) {
    const auto newest = current_ ? current_->started_at_ms : restored_started_at_ms_;
    if (!current_ && started_at_ms && *started_at_ms < newest) {
        return lifecycle_change::outdated; // replaced before this process was started
    }
    // Its announcement may be delayed, or this process has just started. The departure becomes the
    // host's published state, so that it is known after a restart too.
    if (!current_ || (started_at_ms && *started_at_ms > newest)) {
        return adopt_departed(id, started_at_ms.value_or(wall_time().count()));
    }
    if (current_->id != id) {
        record_departure(id, started_at_ms.value_or(wall_time().count()));
        return lifecycle_change::none;
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

lifecycle_change target_lifecycle::on_departure_notice(const std::string& id,
                                                       std::int64_t started_at_ms) {
    const bool is_current =
        current_ && current_->id == id && current_->started_at_ms == started_at_ms;
    if (!is_current || state_ != target_state::ready) {
        return lifecycle_change::none; // has been replaced, or its departure is known
    }
    state_ = target_state::leaving;
    return lifecycle_change::leaving;
}

} // namespace lavenderhoist::mesh
