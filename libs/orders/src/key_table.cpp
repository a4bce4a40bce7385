#include "lavenderhoist/orders/key_table.hpp"

#include <algorithm>
#include <utility>

namespace lavenderhoist::orders {

table_verdict key_table::begin_order(const key& order, const order_identity& identity,
                                     time_point now) {
    const auto found = entries_.find(order);
    if (found != entries_.end()) {
        const auto& known = found->second;
        if (known.identity != identity) {
            return conflicting_order{};
        }
        if (known.result) {
            return finished_order{&*known.result};
        }
        return running_order{};
    }
    evict_until_below_max();
    if (entries_.size() >= limits_.max_entries) {
        return table_full{};
    }
    entries_.emplace(order, entry{identity, std::nullopt, now});
    ++running_;
    return new_order{};
}

void key_table::withdraw(const key& order) {
    const auto found = entries_.find(order);
    if (found == entries_.end() || found->second.result) {
        return;
    }
    entries_.erase(found);
    --running_;
}

void key_table::complete_order(const key& order, stored_result result, time_point now) {
    const auto found = entries_.find(order);
    if (found == entries_.end() || found->second.result) {
        return;
    }
    --running_;
    store_result(found->second, order, std::move(result), now);
}

void key_table::store_result(entry& target, const key& order, stored_result result,
                             time_point now) {
    const bool fits = result.body.size() <= limits_.max_answer_bytes &&
                      stored_bytes_ + result.body.size() <= limits_.max_total_bytes;
    if (!fits) {
        result.body.clear();
        result.fields.clear();
        result.has_answer = false;
    }
    stored_bytes_ += result.body.size();
    target.result = std::move(result);
    target.ended_at = now;
    finished_keys_.push_back(order);
}

void key_table::remove_oldest() {
    const auto oldest = finished_keys_.front();
    finished_keys_.pop_front();
    const auto found = entries_.find(oldest);
    stored_bytes_ -= found->second.result->body.size();
    entries_.erase(found);
}

void key_table::evict_until_below_max() {
    while (entries_.size() >= limits_.max_entries && !finished_keys_.empty()) {
        const auto issued = finished_keys_.front().issued_at();
        evicted_horizon_ = std::max(evicted_horizon_.value_or(issued), issued);
        remove_oldest();
    }
}

std::optional<milliseconds> key_table::expire(time_point now) {
    std::optional<milliseconds> latest;
    while (!finished_keys_.empty()) {
        const auto& oldest = entries_.at(finished_keys_.front());
        if (now - oldest.ended_at < limits_.retention) {
            break;
        }
        const auto issued = finished_keys_.front().issued_at();
        latest = std::max(latest.value_or(issued), issued);
        remove_oldest();
    }
    return latest;
}

std::optional<milliseconds> key_table::take_evicted_horizon() noexcept {
    return std::exchange(evicted_horizon_, std::nullopt);
}

std::vector<key_table::exported>
key_table::export_finished(const std::function<bool(const key&)>& selects) const {
    std::vector<exported> result;
    for (const auto& [order, known] : entries_) {
        if (known.result && selects(order)) {
            result.push_back({order, known.identity, *known.result});
        }
    }
    return result;
}

bool key_table::has_running(const std::function<bool(const key&)>& selects) const {
    return std::ranges::any_of(entries_, [&selects](const auto& item) {
        return !item.second.result && selects(item.first);
    });
}

void key_table::import_finished(exported given, time_point now) {
    if (entries_.contains(given.order)) {
        return;
    }
    evict_until_below_max();
    if (entries_.size() >= limits_.max_entries) {
        const auto issued = given.order.issued_at();
        evicted_horizon_ = std::max(evicted_horizon_.value_or(issued), issued);
        return;
    }
    auto& made = entries_[given.order];
    made.identity = std::move(given.identity);
    store_result(made, given.order, std::move(given.result), now);
}

} // namespace lavenderhoist::orders
