// target_worker: calls of other nodes (ownership of orders, admission, exchange with the target).

#include "lavenderhoist/call/call_codec.hpp"
#include "lavenderhoist/core/hash.hpp"
#include "lavenderhoist/net/deadline_guard.hpp"
#include "lavenderhoist/net/spawn.hpp"
#include "lavenderhoist/net/timer.hpp"
#include "lavenderhoist/retry/retry_after.hpp"
#include "lavenderhoist/serving/target_worker.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace lavenderhoist::node {

namespace asio = boost::asio;

namespace {

constexpr duration draining_retry_after = std::chrono::milliseconds(200);
constexpr duration downstream_retry_after = std::chrono::milliseconds(1'000);
constexpr duration target_retry_after = std::chrono::milliseconds(1'000);
constexpr duration death_probe_timeout = std::chrono::milliseconds(200);
constexpr int first_server_error = 500;

/** Time after the deadline of an order for which its answer is still awaited, to be stored. */
constexpr duration order_answer_grace = std::chrono::seconds(2);

admission::completion completion_of(const call_answer& answer) {
    if (answer.from_target) {
        return admission::completion::answered;
    }
    const bool was_shed = answer.failure.code == errc::target_shed;
    return was_shed ? admission::completion::shed : admission::completion::failed;
}

milliseconds to_wall_clock(time_point when, time_point now) {
    return wall_time() + std::chrono::duration_cast<milliseconds>(when - now);
}

} // namespace

asio::awaitable<net::response> target_worker::serve_call(net::request message,
                                                         net::cancellation_ptr cancelled) {
    auto decoded =
        decode_call(std::move(message), state_.settings.deployment_secret, runtime_clock::now());
    if (!decoded) {
        counters_.count("peers.refused");
        co_return encode_answer(
            make_failure(outcome::refused, errc::unauthorised, step::stream, state_.settings.id));
    }
    counters_.count("calls");
    const auto request = std::move(*decoded);
    call_answer answer;
    if (is_leaving() || !announced_ || !target_ || announced_->service != request.service) {
        const auto cause = is_leaving() ? errc::draining : errc::no_target;
        answer = make_failure(outcome::refused, cause, step::admission, state_.settings.id,
                              draining_retry_after);
        answer.credits_left = request.credits;
        co_return encode_answer(answer);
    }
    const bool is_owned = request.is_order && request.order_key && state_.settings.policy;
    if (is_owned) {
        answer = co_await serve_order(request, std::move(cancelled));
    } else {
        answer = co_await run(request, std::nullopt, std::move(cancelled));
    }
    answer.level = level_for(request);
    if (answer.failure) {
        counters_.count(std::string("refused.") + answer.failure.code.message());
    }
    co_return encode_answer(answer);
}

int target_worker::level_for(const call& request) {
    if (!state_.settings.policy) {
        return admission::open_level;
    }
    int level = gate_ ? gate_->controller().level() : admission::open_level;
    const auto known = downstream_levels_.find(route_hash(request.service, request.message.path));
    if (known == downstream_levels_.end()) {
        return level;
    }
    for (const auto& [callee, received] : known->second) {
        level = std::max(level, received.level(runtime_clock::now()));
    }
    return level;
}

asio::awaitable<call_answer> target_worker::serve_order(call request,
                                                        net::cancellation_ptr cancelled) {
    const auto order_key = *request.order_key;
    auto verdict = orders_.begin(request);
    if (auto* const answered = std::get_if<order_answered>(&verdict)) {
        answered->answer.credits_left = request.credits;
        co_return std::move(answered->answer);
    }
    if (std::holds_alternative<order_joined>(verdict)) {
        counters_.count("orders.joined");
        auto answer = co_await orders_.join(request);
        answer.credits_left = request.credits;
        co_return answer;
    }
    const auto start_by = std::get<order_may_start>(verdict).lease_until;
    auto answer = co_await run(request, start_by, std::move(cancelled));
    if (answer.did_not_run()) {
        orders_.withdraw(order_key, answer);
    } else {
        orders_.end(order_key, answer);
    }
    co_return answer;
}

std::optional<call_answer> target_worker::refuse_early(const call& request) {
    const auto now = runtime_clock::now();
    const auto digest = identity_of(request).digest;
    if (crashes_.is_quarantined(digest, wall_time())) {
        return make_failure(outcome::refused, errc::quarantined, step::admission,
                            state_.settings.id);
    }
    const auto known = downstream_levels_.find(route_hash(request.service, request.message.path));
    if (known == downstream_levels_.end()) {
        return std::nullopt;
    }
    for (const auto& [callee, received] : known->second) {
        if (received.level(now) > request.importance_for_levels()) {
            const auto wait =
                retry::spread_retry_after(downstream_retry_after, stable_hash(request.root_id));
            return make_failure(outcome::refused, errc::refused_early, step::admission, callee,
                                wait);
        }
    }
    return std::nullopt;
}

asio::awaitable<call_answer> target_worker::run(call request, std::optional<time_point> start_by,
                                                net::cancellation_ptr cancelled) {
    if (!state_.settings.policy) {
        co_return co_await forward(request, start_by, std::move(cancelled));
    }
    if (auto early = refuse_early(request)) {
        early->credits_left = request.credits;
        co_return std::move(*early);
    }
    const auto gate = gate_; // held, because gate_ is replaced when the target restarts
    if (!gate) {
        co_return make_failure(outcome::refused, errc::no_target, step::admission,
                               state_.settings.id, target_retry_after);
    }
    const auto admitted = co_await gate->enter(request, cancelled);
    if (!admitted.is_admitted) {
        const auto wait =
            retry::spread_retry_after(admitted.retry_after, stable_hash(request.root_id));
        auto refusal = make_failure(outcome::refused, admitted.reason, step::admission,
                                    state_.settings.id, wait);
        refusal.credits_left = request.credits;
        co_return refusal;
    }
    if (start_by && !orders_.may_still_start(*request.order_key)) {
        gate->leave(admitted, admission::completion::failed);
        co_return make_failure(outcome::refused, errc::no_lease, step::owner, state_.settings.id,
                               target_retry_after);
    }
    const auto answer = co_await forward(request, start_by, std::move(cancelled));
    gate->leave(admitted, completion_of(answer));
    co_return answer;
}

net::request target_worker::make_target_request(const call& request, const std::string& context,
                                                std::optional<time_point> start_by) const {
    const auto now = runtime_clock::now();
    auto message = request.message;
    auto& fields = message.fields;
    const auto deadline = to_wall_clock(request.deadline, now);
    fields.push_back({"lh-context", context});
    fields.push_back({"lh-deadline-ms", std::to_string(deadline.count())});
    fields.push_back({"lh-caller", request.caller});
    if (start_by) {
        fields.push_back({"lh-start-by-ms", std::to_string(to_wall_clock(*start_by, now).count())});
    }
    if (request.order_key) {
        std::erase_if(fields,
                      [](const net::header& field) { return field.name == "idempotency-key"; });
        fields.push_back({"idempotency-key", request.order_key->to_string()});
    }
    return message;
}

asio::awaitable<call_answer> target_worker::forward(call request,
                                                    std::optional<time_point> start_by,
                                                    net::cancellation_ptr cancelled) {
    if (!target_) {
        co_return make_failure(outcome::refused, errc::no_target, step::target, state_.settings.id,
                               target_retry_after);
    }
    const auto context = front_.make_request_id();
    const auto parent = std::make_shared<parent_call>();
    parent->context = request;
    parent->route = route_hash(request.service, request.message.path);
    parent->credits = retry::credit_account(request.credits);
    parent->cancelled = std::make_shared<net::cancellation>();
    parents_[context] = parent;
    const auto digest = identity_of(request).digest;
    running_digests_[context] = digest;

    const auto message = make_target_request(request, context, start_by);
    // An order is not cancelled when its caller disconnects: a later retry must find its answer.
    const auto wait_until =
        request.is_order ? request.deadline + order_answer_grace : request.deadline;
    if (request.is_order) {
        cancelled = nullptr;
    }
    const auto* const used = target_.get();
    auto result = co_await target_->exchange(message, wait_until, std::move(cancelled));
    parents_.erase(context);
    parent->cancelled->cancel();
    running_digests_.erase(context);
    const bool is_connection_lost = result.code == errc::target_lost;
    if (is_connection_lost && used == target_.get() && !target_is_down_) {
        if (!result.never_processed) {
            lost_digests_.push_back(digest);
        }
        net::spawn(worker_.executor(), check_target_death());
    }
    auto answer = interpret(request, std::move(result));
    record_health(answer);
    answer.credits_left = parent->credits.balance();
    if (answer.result == outcome::completed) {
        crashes_.on_completed(digest, wall_time());
    }
    co_return answer;
}

void target_worker::record_health(const call_answer& answer) {
    if (answer.from_target) {
        health_.on_answered();
    } else if (answer.failure.code != errc::cancelled) {
        health_.on_failed(runtime_clock::now());
    }
}

call_answer target_worker::interpret(const call& request, net::exchange_result result) {
    if (result.code) {
        const bool has_not_run = result.never_processed;
        const auto cause = static_cast<errc>(result.code.value());
        return make_failure(has_not_run ? outcome::refused : outcome::unknown, cause, step::target,
                            state_.settings.id, has_not_run ? target_retry_after : duration(0));
    }
    // A target reports load shedding, or whether it executed the request, in the field lh-outcome.
    const auto claimed = parse_outcome(net::find_header(result.answer.fields, "lh-outcome"));
    const auto retry_after =
        parse_integer(net::find_header(result.answer.fields, "lh-retry-after-ms"));
    if (claimed == outcome::refused) {
        auto answer = make_failure(
            outcome::refused, errc::target_shed, step::target, state_.settings.id,
            retry::spread_retry_after(target_retry_after, stable_hash(request.root_id)));
        return answer;
    }
    call_answer answer;
    answer.from_target = true;
    answer.result =
        result.answer.status >= first_server_error ? outcome::unknown : outcome::completed;
    answer.result = claimed.value_or(answer.result);
    answer.retry_after = milliseconds(retry_after.value_or(0));
    answer.message = std::move(result.answer);
    net::remove_headers_with_prefix(answer.message.fields, reserved_header_prefix);
    return answer;
}

asio::awaitable<void> target_worker::check_target_death() {
    const auto suspected_generation = announced_ ? announced_->generation : 0;
    net::tcp::socket probe(worker_.executor());
    if (!announced_) {
        co_return;
    }
    const auto where = net::make_endpoint(announced_->where.host, announced_->where.port);
    boost::system::error_code failed;
    {
        const net::deadline_guard guard(probe, runtime_clock::now() + death_probe_timeout);
        co_await probe.async_connect(where, asio::redirect_error(asio::use_awaitable, failed));
    }
    const bool is_same = announced_ && announced_->generation == suspected_generation;
    if (failed != asio::error::connection_refused || target_is_down_ || !is_same) {
        co_return;
    }
    target_is_down_ = true;
    counters_.count("target.deaths");
    std::vector<std::uint64_t> running = std::exchange(lost_digests_, {});
    for (const auto& [context, digest] : running_digests_) {
        running.push_back(digest);
    }
    std::ranges::sort(running);
    running.erase(std::unique(running.begin(), running.end()), running.end());
    std::vector<std::uint64_t> suspects;
    std::vector<std::uint64_t> quarantined;
    const auto seen_at = wall_time();
    for (const auto& each : crashes_.on_end(next_end(), running, seen_at)) {
        suspects.push_back(each.request);
        if (crashes_.is_quarantined(each.request, seen_at)) {
            quarantined.push_back(each.request);
        }
    }
    counters_.count("poison.quarantined", quarantined.size());
    poison_handler_(std::move(suspects), std::move(quarantined));
    withdraw_target();
}

} // namespace lavenderhoist::node
