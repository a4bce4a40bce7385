#include "lavenderhoist/order_service/order_registry.hpp"

#include "lavenderhoist/core/hash.hpp"
#include "lavenderhoist/retry/retry_after.hpp"

#include <algorithm>
#include <utility>

namespace lavenderhoist::node {

namespace asio = boost::asio;

namespace {

constexpr duration not_owner_retry_after = std::chrono::milliseconds(500);
constexpr duration no_lease_retry_after = std::chrono::milliseconds(1'000);
constexpr std::size_t max_keys = 50'000;
constexpr std::size_t max_stored_answer_bytes = 4U << 10U;
constexpr std::size_t max_stored_bytes = 4U << 20U;

orders::stored_result to_stored_result(const call_answer& answer) {
    orders::stored_result stored;
    stored.result = answer.result;
    stored.status = answer.message.status;
    stored.has_answer = answer.from_target;
    stored.body = answer.message.body;
    for (const auto& field : answer.message.fields) {
        stored.fields.emplace_back(field.name, field.value);
    }
    return stored;
}

call_answer to_call_answer(const orders::stored_result& stored, const std::string& node_id) {
    if (!stored.has_answer) {
        return make_failure(outcome::unknown, errc::target_lost, step::owner, node_id);
    }
    call_answer answer;
    answer.result = stored.result;
    answer.from_target = true;
    answer.message.status = stored.status;
    answer.message.body = stored.body;
    for (const auto& [name, value] : stored.fields) {
        answer.message.fields.push_back({name, value});
    }
    return answer;
}

} // namespace

orders::order_identity identity_of(const call& order) {
    const auto& message = order.message;
    const auto digest = stable_hash(message.method) ^ mix(stable_hash(message.path)) ^
                        mix(mix(stable_hash(message.body)));
    return {order.caller, digest};
}

order_registry::order_registry(asio::any_io_executor executor, orders::owner self,
                               orders::ownership::bounds limits, std::string node_id)
    : executor_(std::move(executor)),
      node_id_(std::move(node_id)),
      ownership_(std::move(self), limits),
      table_({max_keys, max_stored_answer_bytes, max_stored_bytes, limits.retention}) {}

void order_registry::on_assignment(const orders::assignment& next) {
    ownership_.on_assignment(next, runtime_clock::now(), wall_time());
}

std::int64_t order_registry::epoch() const noexcept {
    const auto* const current = ownership_.current();
    return current == nullptr ? 0 : current->epoch;
}

call_answer order_registry::refuse(const call& order, errc cause, duration wait) const {
    const auto spread = retry::spread_retry_after(wait, stable_hash(order.root_id));
    return make_failure(outcome::refused, cause, step::owner, node_id_, spread);
}

bool order_registry::has_lease() const {
    return lease_.epoch == epoch() && runtime_clock::now() < lease_.until;
}

bool order_registry::may_still_start(const key& order) const {
    const auto verdict = ownership_.decide(order, runtime_clock::now(), wall_time());
    return std::holds_alternative<orders::may_run>(verdict) && has_lease();
}

order_verdict order_registry::begin(const call& order) {
    const auto now = runtime_clock::now();
    const auto verdict = ownership_.decide(*order.order_key, now, wall_time());
    if (std::holds_alternative<orders::owned_by_peer>(verdict)) {
        return order_answered{refuse(order, errc::not_owner, not_owner_retry_after)};
    }
    if (const auto* const early = std::get_if<orders::pending_ownership>(&verdict)) {
        return order_answered{refuse(order, errc::no_lease, early->until - now)};
    }
    if (std::holds_alternative<orders::issued_in_future>(verdict)) {
        return order_answered{refuse(order, errc::key_from_future, duration(0))};
    }
    return look_up(order, std::holds_alternative<orders::may_run>(verdict));
}

order_verdict order_registry::look_up(const call& order, bool may_enter) {
    const auto& order_key = *order.order_key;
    const auto entered = table_.begin_order(order_key, identity_of(order), runtime_clock::now());
    if (const auto* const ended = std::get_if<orders::finished_order>(&entered)) {
        return order_answered{to_call_answer(*ended->result, node_id_)};
    }
    if (std::holds_alternative<orders::running_order>(entered)) {
        return order_joined{};
    }
    if (std::holds_alternative<orders::conflicting_order>(entered)) {
        return order_answered{refuse(order, errc::key_reused, duration(0))};
    }
    if (std::holds_alternative<orders::table_full>(entered)) {
        return order_answered{refuse(order, errc::queue_full, no_lease_retry_after)};
    }
    if (const auto evicted = table_.take_evicted_horizon()) {
        ownership_.raise_horizon(*evicted);
    }
    if (!may_enter) {
        table_.withdraw(order_key);
        return order_answered{
            make_failure(outcome::unknown, errc::key_too_old, step::owner, node_id_)};
    }
    if (!has_lease()) {
        table_.withdraw(order_key);
        return order_answered{refuse(order, errc::no_lease, no_lease_retry_after)};
    }
    return order_may_start{lease_.until};
}

void order_registry::withdraw(const key& order, const call_answer& answer) {
    table_.withdraw(order);
    notify_joined(order, answer);
}

void order_registry::end(const key& order, const call_answer& answer) {
    table_.complete_order(order, to_stored_result(answer), runtime_clock::now());
    notify_joined(order, answer);
}

void order_registry::notify_joined(const key& order, const call_answer& answer) {
    const auto found = joined_.find(order);
    if (found == joined_.end()) {
        return;
    }
    const auto group = found->second;
    joined_.erase(found);
    group->answer = answer;
    for (const auto& signal : group->signals) {
        signal->set();
    }
}

asio::awaitable<call_answer> order_registry::join(call order) {
    auto& slot = joined_[*order.order_key];
    if (!slot) {
        slot = std::make_shared<joined_duplicates>();
    }
    const auto group = slot;
    const auto signal = std::make_shared<net::signal>(executor_);
    group->signals.push_back(signal);
    co_await signal->wait(order.deadline);
    if (group->answer) {
        co_return *group->answer;
    }
    co_return make_failure(outcome::unknown, errc::deadline_passed, step::owner, node_id_);
}

void order_registry::on_tick() {
    if (const auto removed = table_.expire(runtime_clock::now())) {
        ownership_.raise_horizon(*removed);
    }
    if (const auto evicted = table_.take_evicted_horizon()) {
        ownership_.raise_horizon(*evicted);
    }
}

std::optional<std::map<std::string, hand_over>>
order_registry::make_hand_overs(const std::string& service, std::int64_t epoch) const {
    const auto* const after = ownership_.find(epoch);
    const auto* const before = ownership_.find(epoch - 1);
    std::map<std::string, hand_over> result;
    if (after == nullptr || before == nullptr || !before->contains(ownership_.self())) {
        return result;
    }
    const auto horizon = ownership_.horizon_to_hand_over(epoch, runtime_clock::now());
    if (!horizon) {
        return std::nullopt;
    }
    const auto self = ownership_.self();
    for (const auto& new_member : after->members) {
        if (new_member == self) {
            continue;
        }
        const auto moves_there = [&](const key& order) {
            const auto* const old_owner = before->owner_of(order.hash());
            const auto* const new_owner = after->owner_of(order.hash());
            return old_owner != nullptr && *old_owner == self && *new_owner == new_member;
        };
        if (table_.has_running(moves_there)) {
            return std::nullopt;
        }
        result[new_member.id] = {service, epoch, self, *horizon,
                                 table_.export_finished(moves_there)};
    }
    return result;
}

void order_registry::accept_hand_over(hand_over given) {
    for (auto& entry : given.keys) {
        table_.import_finished(std::move(entry), runtime_clock::now());
    }
    if (const auto evicted = table_.take_evicted_horizon()) {
        ownership_.raise_horizon(*evicted);
    }
    ownership_.on_hand_over(given.epoch, given.from, given.horizon);
}

} // namespace lavenderhoist::node
