#include "lavenderhoist/serving/dispatcher.hpp"

#include "lavenderhoist/call/call_codec.hpp"
#include "lavenderhoist/core/hash.hpp"
#include "lavenderhoist/retry/retry_after.hpp"
#include "lavenderhoist/routing/subset.hpp"

#include <algorithm>
#include <utility>

namespace lavenderhoist::node {

namespace asio = boost::asio;

namespace {

constexpr std::size_t subset_size = 12;
constexpr duration connect_timeout = std::chrono::milliseconds(250);
constexpr duration max_connection_idle_time = std::chrono::seconds(30);
constexpr duration refusal_retry_after = std::chrono::milliseconds(1'000);
constexpr duration no_target_retry_after = std::chrono::milliseconds(2'000);

/** Minimum time left before the deadline for a retry. */
constexpr duration min_time_for_retry = std::chrono::milliseconds(5);

call_answer refusal(const call& request, errc cause, step where, const std::string& peer,
                    duration wait) {
    const auto spread = retry::spread_retry_after(wait, stable_hash(request.root_id));
    auto answer = make_failure(outcome::refused, cause, where, peer, spread);
    return answer;
}

} // namespace

std::uint64_t route_hash(std::string_view service, std::string_view path) noexcept {
    const auto end = path.find_first_of("/?", 1);
    return stable_hash(service) ^ mix(stable_hash(path.substr(0, end)));
}

dispatcher::dispatcher(node_state& state, asio::any_io_executor executor,
                       metrics::recorder& counters, std::uint64_t seed)
    : state_(state),
      executor_(std::move(executor)),
      counters_(counters),
      pool_(executor_, state.settings.max_body_bytes),
      selector_(seed) {}

dispatcher::known_service& dispatcher::service_state(const std::string& name) {
    auto& service = services_[name];
    refresh(service, name);
    return service;
}

void dispatcher::refresh(known_service& service, const std::string& name) {
    std::vector<view_target> listed;
    const bool is_current = state_.view.read([&](const routing_view& view) {
        if (view.generation == service.generation) {
            return true;
        }
        service.generation = view.generation;
        const auto found = view.targets.find(name);
        if (found != view.targets.end()) {
            listed = found->second;
        }
        return false;
    });
    if (is_current) {
        return;
    }
    std::vector<routing::subset_member> members;
    for (const auto& target : listed) {
        members.push_back({target.id_hash, target.is_local});
    }
    const auto chosen =
        routing::choose_subset(members, stable_hash(state_.settings.id), subset_size);
    std::vector<known_target_ptr> next;
    // Targets outside of the subset are kept as well, since an order goes to its owner, whichever
    // that is.
    for (const auto& info : listed) {
        const auto same =
            std::ranges::find_if(service.targets, [&info](const known_target_ptr& known) {
                return known->info.id == info.id && known->info.process == info.process;
            });
        auto kept = same == service.targets.end() ? std::make_shared<known_target>() : *same;
        kept->info = info;
        kept->in_subset = false;
        next.push_back(std::move(kept));
    }
    for (const auto index : chosen) {
        next[index]->in_subset = true;
    }
    service.targets = std::move(next);
}

std::vector<routing::candidate> dispatcher::candidates_for(const known_service& service,
                                                           const progress& done,
                                                           std::uint64_t route) {
    const auto now = runtime_clock::now();
    std::vector<routing::candidate> candidates;
    for (const auto& target : service.targets) {
        if (!target->in_subset || !target->info.accepts_calls) {
            continue;
        }
        const auto received = target->levels.find(route);
        const int level = received == target->levels.end() ? 0 : received->second.level(now);
        const bool is_tried = std::ranges::find(done.tried, target) != done.tried.end();
        candidates.push_back({&target->state, level, target->info.is_local, is_tried});
    }
    return candidates;
}

int dispatcher::min_target_level(const std::string& service_name, const std::string& path) {
    const auto& service = service_state(service_name);
    const auto candidates = candidates_for(service, {}, route_hash(service_name, path));
    if (candidates.empty()) {
        return 0;
    }
    return routing::min_level(candidates, admission::closed_level, runtime_clock::now());
}

int dispatcher::effective_importance(const call& request) const noexcept {
    if (!state_.settings.policy) {
        return admission::closed_level;
    }
    return request.importance_for_levels();
}

dispatcher::known_target_ptr dispatcher::choose(known_service& service, const call& request,
                                                const progress& done, std::uint64_t route,
                                                call_answer& failure) {
    const auto candidates = candidates_for(service, done, route);
    const auto choice =
        selector_.choose(candidates, effective_importance(request), runtime_clock::now());
    if (const auto* const picked = std::get_if<routing::chosen>(&choice)) {
        const auto* const state = candidates[picked->index].state;
        return *std::ranges::find_if(service.targets, [state](const known_target_ptr& target) {
            return &target->state == state;
        });
    }
    if (const auto* const closed = std::get_if<routing::all_refuse>(&choice)) {
        failure = refusal(request, errc::refused_early, step::route, request.service,
                          refusal_retry_after);
        failure.level = closed->level;
        return nullptr;
    }
    failure =
        refusal(request, errc::no_target, step::route, request.service, no_target_retry_after);
    return nullptr;
}

dispatcher::known_target_ptr dispatcher::choose_owner(known_service& service, const call& request,
                                                      std::uint64_t route, call_answer& failure) {
    const auto owner_id = state_.view.read([&](const routing_view& view) {
        const auto found = view.assignments.find(request.service);
        if (found == view.assignments.end()) {
            return std::string();
        }
        const auto* const owner = found->second.owner_of(request.order_key->hash());
        return owner == nullptr ? std::string() : owner->id;
    });
    const auto found = std::ranges::find_if(
        service.targets, [&](const known_target_ptr& known) { return known->info.id == owner_id; });
    const auto now = runtime_clock::now();
    if (found == service.targets.end() || !(*found)->state.is_available(now)) {
        failure = refusal(request, errc::no_target, step::owner, owner_id, no_target_retry_after);
        return nullptr;
    }
    const auto received = (*found)->levels.find(route);
    const int level = received == (*found)->levels.end() ? 0 : received->second.level(now);
    if (level > effective_importance(request)) {
        failure = refusal(request, errc::refused_early, step::route, owner_id, refusal_retry_after);
        failure.level = level;
        return nullptr;
    }
    return *found;
}

asio::awaitable<call_answer> dispatcher::dispatch(call request, retry::credit_account& credits,
                                                  net::cancellation_ptr cancelled) {
    const auto route = route_hash(request.service, request.message.path);
    progress done;
    while (true) {
        auto& service = service_state(request.service);
        call_answer failure;
        const bool has_owner = request.is_order && state_.settings.policy;
        const auto target = has_owner ? choose_owner(service, request, route, failure)
                                      : choose(service, request, done, route, failure);
        if (!target) {
            counters_.count(std::string("refused.") + failure.failure.code.message());
            failure.result = done.may_have_run ? outcome::unknown : outcome::refused;
            co_return failure;
        }
        auto answer = co_await attempt(target, request, credits, route, cancelled);
        done.may_have_run = done.may_have_run || answer.result == outcome::unknown;
        if (!may_retry(request, answer, credits, service_state(request.service))) {
            if (done.may_have_run && answer.did_not_run()) {
                answer.result = outcome::unknown;
            }
            co_return answer;
        }
        counters_.count("retries");
        if (!has_owner) {
            done.tried.push_back(target);
        }
    }
}

asio::awaitable<call_answer> dispatcher::attempt(known_target_ptr target, const call& request,
                                                 retry::credit_account& credits,
                                                 std::uint64_t route,
                                                 net::cancellation_ptr cancelled) {
    const auto now = runtime_clock::now();
    auto outgoing = request;
    outgoing.credits = credits.split_for_call();
    const int carried = outgoing.credits;
    const auto message = encode_call(outgoing, state_.settings.deployment_secret, now);
    target->state.on_sent();
    counters_.count("attempts");
    auto result = co_await pool_.exchange(target->info.calls, message, request.deadline,
                                          connect_timeout, std::move(cancelled));
    const auto end = runtime_clock::now();
    if (!result.code) {
        auto answer = decode_answer(std::move(result.answer));
        // A target that refuses at once has few calls in flight; without ejection it would attract
        // all.
        const bool is_target_failure = answer.failure.code == errc::target_shed ||
                                       answer.failure.code == errc::target_lost ||
                                       answer.failure.code == errc::no_target;
        if (!is_target_failure) {
            target->state.on_answer();
        } else if (target->state.on_failure(end)) {
            counters_.count("targets.ejected");
        }
        target->levels[route].record(answer.level, end);
        credits.refund(answer.credits_left, carried);
        co_return answer;
    }
    if (result.code == errc::cancelled) {
        target->state.on_cancelled();
        co_return make_failure(outcome::unknown, errc::cancelled, step::stream, target->info.id);
    }
    counters_.count("attempts.failed");
    if (target->state.on_failure(end)) {
        counters_.count("targets.ejected");
    }
    if (result.never_processed) {
        credits.refund(carried, carried);
        co_return refusal(request, errc::peer_lost, step::connect, target->info.id,
                          no_target_retry_after);
    }
    const auto cause =
        result.code == errc::deadline_passed ? errc::deadline_passed : errc::peer_lost;
    co_return make_failure(outcome::unknown, cause, step::stream, target->info.id);
}

bool dispatcher::may_retry(const call& request, const call_answer& answer,
                           retry::credit_account& credits, known_service& service) {
    if (answer.from_target) {
        service.budget.on_success();
        return false;
    }
    if (!state_.settings.policy || request.deadline < runtime_clock::now() + min_time_for_retry) {
        return false;
    }
    const auto cause = static_cast<errc>(answer.failure.code.value());
    const bool is_final = cause == errc::cancelled || cause == errc::deadline_passed ||
                          cause == errc::key_reused || cause == errc::key_too_old ||
                          cause == errc::key_from_future || cause == errc::quarantined ||
                          cause == errc::refused_early;
    const bool is_safe = answer.did_not_run() || !request.is_order;
    if (is_final || !is_safe || credits.balance() == 0) {
        return false;
    }
    return service.budget.try_withdraw() && credits.try_spend();
}

void dispatcher::close_idle_connections() {
    pool_.close_idle(runtime_clock::now() - max_connection_idle_time);
}

} // namespace lavenderhoist::node
