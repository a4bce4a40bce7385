#include "lavenderhoist/orders/ownership.hpp"

#include <algorithm>
#include <utility>

namespace lavenderhoist::orders {
namespace {

constexpr std::size_t max_epochs = 32;

} // namespace

ownership::ownership(owner self, bounds limits) : self_(std::move(self)), limits_(limits) {}

void ownership::on_assignment(const assignment& next, time_point now, milliseconds wall_now) {
    if (!epochs_.empty() && next.epoch <= epochs_.back().value.epoch) {
        return;
    }
    epoch_state state;
    state.value = next;
    state.takeover_at = now + next.takeover_delay;
    state.takeover_wall = wall_now + next.takeover_delay;
    state.is_after_gap = epochs_.empty() || epochs_.back().value.epoch + 1 != next.epoch;
    const auto early = early_hand_overs_.find(next.epoch);
    if (early != early_hand_overs_.end()) {
        state.handed_over = early->second;
    }
    early_hand_overs_.erase(early_hand_overs_.begin(), early_hand_overs_.upper_bound(next.epoch));
    epochs_.push_back(std::move(state));
    if (epochs_.size() > max_epochs) {
        epochs_.pop_front();
        epochs_.front().is_after_gap = true;
    }
}

void ownership::on_hand_over(std::int64_t epoch, const owner& from, milliseconds horizon) {
    if (epochs_.empty() || epoch > epochs_.back().value.epoch) {
        early_hand_overs_[epoch][from] = horizon;
        return;
    }
    for (auto& state : epochs_) {
        if (state.value.epoch == epoch) {
            state.handed_over[from] = horizon;
        }
    }
}

void ownership::raise_horizon(milliseconds issued) noexcept {
    table_horizon_ = std::max(table_horizon_, issued);
}

ownership::start ownership::start_of(const epoch_state& state, const owner* before) const {
    if (is_first_epoch(state)) {
        return {time_point{}, milliseconds(0)};
    }
    if (before != nullptr) {
        const auto handed = state.handed_over.find(*before);
        if (handed != state.handed_over.end()) {
            return {time_point{}, handed->second};
        }
    }
    return {state.takeover_at, state.takeover_wall};
}

std::optional<ownership::start> ownership::start_for(std::uint64_t key_hash) const {
    const epoch_state* acquired = nullptr; // first epoch of this process's uninterrupted ownership
    const owner* before = nullptr;         // owner in the epoch before `acquired`
    for (std::size_t i = epochs_.size(); i > 0; --i) {
        const auto& state = epochs_[i - 1];
        const auto* const holder = state.value.owner_of(key_hash);
        if (holder == nullptr || *holder != self_) {
            before = holder;
            break;
        }
        acquired = &state;
        if (state.is_after_gap) {
            before = nullptr;
            break;
        }
    }
    if (acquired == nullptr) {
        return std::nullopt;
    }
    return start_of(*acquired, before);
}

ownership_verdict ownership::decide(const key& order, time_point now, milliseconds wall_now) const {
    const auto hash = order.hash();
    const auto begin = start_for(hash);
    if (!begin) {
        const auto* const holder = epochs_.empty() ? nullptr : epochs_.back().value.owner_of(hash);
        return owned_by_peer{holder == nullptr ? std::string() : holder->id};
    }
    if (now < begin->at) {
        return pending_ownership{begin->at};
    }
    // The errors of two clocks may each reach the bound, in opposite directions.
    const auto margin = limits_.max_clock_difference * 2;
    if (order.issued_at() > wall_now + margin) {
        return issued_in_future{};
    }
    auto horizon = begin->horizon.count() == 0 ? milliseconds(0) : begin->horizon + margin;
    horizon = std::max(horizon, table_horizon_);
    horizon = std::max(horizon, wall_now - limits_.retention + margin);
    if (order.issued_at() <= horizon) {
        return before_horizon{horizon};
    }
    return may_run{epochs_.back().value.epoch};
}

const assignment* ownership::current() const noexcept {
    return epochs_.empty() ? nullptr : &epochs_.back().value;
}

const assignment* ownership::find(std::int64_t epoch) const noexcept {
    for (const auto& state : epochs_) {
        if (state.value.epoch == epoch) {
            return &state.value;
        }
    }
    return nullptr;
}

bool ownership::has_all_hand_overs(std::size_t index) const {
    const auto& state = epochs_[index];
    if (is_first_epoch(state)) {
        return true;
    }
    if (state.is_after_gap || index == 0) {
        return false;
    }
    const auto& before = epochs_[index - 1].value.members;
    return std::ranges::all_of(before, [&](const owner& earlier) {
        return earlier == self_ || state.handed_over.contains(earlier);
    });
}

bool ownership::is_waiting_for_earlier_owner(std::size_t index, time_point now) const {
    return !has_all_hand_overs(index) && now < epochs_[index].takeover_at;
}

bool ownership::is_settled(time_point now) const {
    return !epochs_.empty() && !is_waiting_for_earlier_owner(epochs_.size() - 1, now);
}

milliseconds ownership::max_horizon_of_first(std::size_t count) const {
    milliseconds horizon = table_horizon_;
    for (std::size_t i = 0; i < count; ++i) {
        const auto& state = epochs_[i];
        for (const auto& [from, peer_horizon] : state.handed_over) {
            horizon = std::max(horizon, peer_horizon);
        }
        if (!has_all_hand_overs(i)) {
            horizon = std::max(horizon, state.takeover_wall);
        }
    }
    return horizon;
}

milliseconds ownership::latest_horizon() const {
    return max_horizon_of_first(epochs_.size());
}

std::optional<milliseconds> ownership::horizon_to_hand_over(std::int64_t epoch,
                                                            time_point now) const {
    std::size_t earlier = 0;
    for (; earlier < epochs_.size() && epochs_[earlier].value.epoch < epoch; ++earlier) {
        if (is_waiting_for_earlier_owner(earlier, now)) {
            return std::nullopt;
        }
    }
    return max_horizon_of_first(earlier);
}

} // namespace lavenderhoist::orders
