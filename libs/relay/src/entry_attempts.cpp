#include "lavenderhoist/relay/crash_watch.hpp"
#include "lavenderhoist/relay/internal/entry_state.hpp"
#include "lavenderhoist/relay/run_progress.hpp"

#include "lavenderhoist/core/hash.hpp"

#include <algorithm>
#include <utility>

namespace lavenderhoist::relay {

namespace {

constexpr int status_server_error = 500;

/** Share of the allowed retries that is used: nested calls of a retry count as retries as well. */
constexpr double retry_share = 0.5;

/** The same for calls that a service sheds whatever its load, while the runs that make them are
 * limited: there, calls made by retries are counted one by one. */
constexpr double chain_retry_share = 0.8;

/** Share of a service's requests that may be retried after a 500 answer. It is many times the rate
 * at which single targets fail; a higher failure rate has a common cause in a service below, and
 * retries would multiply the calls to that service. */
constexpr double failure_retry_ratio = 0.01;

/** True if a request that has not run was refused because of load: the limit was reached, or more
 * important requests were preferred. */
bool is_load_rejection(const relay_answer& answer) {
    const auto& cause = answer.failure.code;
    return answer.result == execution::not_run &&
           (cause == errc::overloaded || cause == errc::queue_full || cause == errc::refused_early);
}

} // namespace

mesh::windowed_retry_budget::limits entry::budget_limits() const {
    const auto nodes = std::max<std::size_t>(1, hosts_ ? hosts_->size() : 1);
    return {settings_.retry_ratio * retry_share,
            settings_.extra_retries * retry_share / static_cast<double>(nodes),
            settings_.retry_window};
}

mesh::windowed_retry_budget::limits entry::chain_budget_limits() const {
    auto bounds = budget_limits();
    bounds.ratio = settings_.retry_ratio * chain_retry_share;
    bounds.counts_earlier_windows = true;
    return bounds;
}

bool entry::try_take_retry(const pending& request, const relay_answer& answer) {
    const auto& service = request.request.service;
    auto* const callee = find_callee(request);
    const bool is_limited = callee != nullptr && callee->capacity.runs_per_second();
    if (answer.failure.code != errc::target_shed || !is_limited) {
        return try_take_retry(service);
    }
    const auto* const progress = local_target_.find_progress(parent_of(request.request.id));
    const int completed = progress == nullptr ? 0 : progress->completed;
    if (!callee->capacity.try_take_retry(request.request.importance, completed)) {
        counters_.count("chain_retries_denied");
        return false;
    }
    counters_.count("chain_retries");
    return services_[service].budget.try_take(runtime_clock::now(), chain_budget_limits());
}

bool entry::try_take_retry(const std::string& service) {
    return services_[service].budget.try_take(runtime_clock::now(), budget_limits());
}

bool entry::try_take_failure_retry(const std::string& service) {
    const auto bounds = budget_limits();
    const mesh::windowed_retry_budget::limits failure_bounds{failure_retry_ratio, 0, bounds.window};
    auto& known = services_[service];
    return known.failure_budget.try_take(runtime_clock::now(), failure_bounds) &&
           try_take_retry(service);
}

std::vector<entry::known_target_ptr> entry::candidates_for(const pending& request,
                                                           bool include_stopping, time_point now) {
    std::vector<known_target_ptr> found;
    for (const auto& target : services_[request.request.service].targets) {
        const bool is_excluded = !target->is_available(now) ||
                                 (target->is_stopping() && !include_stopping) ||
                                 std::ranges::find(request.tried, target) != request.tried.end();
        if (!is_excluded) {
            found.push_back(target);
        }
    }
    return found;
}

entry::known_target_ptr entry::choose_target(pending& request, bool& all_refuse) {
    const auto now = runtime_clock::now();
    // A node that shuts down still serves for some seconds: used only if no other target is left.
    auto targets = candidates_for(request, false, now);
    if (targets.empty()) {
        targets = candidates_for(request, true, now);
    }
    // An entry hears of few targets of a large service within a second: the others are assumed to
    // have its level.
    const auto default_level = service_level(request.route->name, request.request.service, now);
    request.service_level = default_level;
    std::vector<mesh::candidate> options;
    for (const auto& target : targets) {
        options.push_back(target->option(request.route->name, now, default_level));
    }
    // Admission levels don't apply to nested calls: refusing one wastes the work already done for
    // its chain.
    const int importance =
        request.request.is_nested ? admission::closed_level : request.request.importance;
    const auto index = placement_.choose(options, importance);
    all_refuse = !index && !options.empty();
    return index ? targets[*index] : nullptr;
}

bool entry::try_raise_to_guaranteed(pending& request) {
    if (request.request.is_nested || request.is_guaranteed() ||
        !guaranteed_.try_take(request.route->name)) {
        return false;
    }
    request.request.importance =
        admission::make_priority(admission::guaranteed_rank, stable_hash(request.request.id));
    request.tried.clear(); // targets that refused it may admit it at the guaranteed rank
    counters_.count("raised");
    return true;
}

void entry::place(const pending_ptr& request) {
    if (crashes_.is_quarantined(request->request)) {
        counters_.count("quarantined");
        fail(request, make_failure(execution::not_run, errc::quarantined, step::route,
                                   request->request.service));
        return;
    }
    bool all_refuse = false;
    auto target = choose_target(*request, all_refuse);
    if (!target && all_refuse && try_raise_to_guaranteed(*request)) {
        target = choose_target(*request, all_refuse);
    }
    if (!target) {
        auto failed = request->last_failure;
        if (request->plan.placements() == 0) {
            failed =
                make_failure(execution::not_run, all_refuse ? errc::refused_early : errc::no_target,
                             step::route, request->request.service);
        }
        fail(request, failed);
        return;
    }
    start_attempt(request, target);
}

void entry::start_attempt(const pending_ptr& request, const known_target_ptr& target) {
    const auto number = ++request->attempt_number;
    request->plan.on_attempt();
    request->tried.push_back(target);
    request->sent_to = target;
    request->cancel = nullptr;
    request->request.target_rate = target->known_rate();
    request->request.is_retry = request->request.is_retry || request->plan.reached() > 0;
    target->on_sent();
    auto done = [this, request, target, number](relay_answer answer) {
        if (!request->finished && request->attempt_number == number) {
            on_answer(request, target, std::move(answer));
        }
    };
    std::function<void()> cancel;
    if (target->record().id == settings_.node_id) {
        const auto ticket = local_target_.submit(request->request, std::move(done));
        cancel = [this, ticket] { local_target_.cancel(ticket); };
    } else {
        cancel = peers_.submit(target->endpoint(), target->record().id, request->request,
                               std::move(done));
    }
    if (!request->finished && request->attempt_number == number) {
        request->cancel = std::move(cancel);
    }
}

bool entry::may_eject_for_shedding(const std::string& service, time_point now) const {
    const auto& targets = services_.at(service).targets;
    const auto available = std::ranges::count_if(
        targets, [now](const known_target_ptr& each) { return each->is_available(now); });
    return available * 2 > static_cast<std::ptrdiff_t>(targets.size()) + 1;
}

void entry::record_health(const std::string& service, known_target& target,
                          const relay_answer& answer, time_point now) {
    const bool is_absent =
        answer.failure.code == errc::peer_lost || answer.failure.code == errc::target_lost ||
        answer.failure.code == errc::no_target || answer.failure.code == errc::draining;
    // If most targets shed, ejecting them would overload the few that remain.
    const bool sheds_alone =
        answer.failure.code == errc::target_shed && may_eject_for_shedding(service, now);
    if (is_absent || sheds_alone) {
        target.health().on_failure(now);
        return;
    }
    target.health().on_answer();
}

bool entry::may_retry_failure(const pending& request, const known_target& target,
                              const relay_answer& answer, time_point now) const {
    // Under overload a failure often comes from a refused nested call, and a retry adds to the
    // load.
    const bool is_loaded =
        target.level(request.route->name, now) > admission::open_level ||
        target.option(request.route->name, now).load > mesh::placement::max_preferred_load;
    return answer.message.status == status_server_error && !is_loaded &&
           request.plan.may_retry_answered(request.request.deadline - now);
}

entry::known_target_ptr entry::choose_shedding_target(const pending& request) {
    const auto now = runtime_clock::now();
    std::vector<known_target_ptr> targets;
    std::vector<mesh::candidate> options;
    for (const auto& target : request.tried) {
        if (target->is_available(now)) {
            targets.push_back(target);
            options.push_back(target->option(request.route->name, now));
        }
    }
    const auto index = placement_.choose(options, admission::closed_level);
    return index ? targets[*index] : nullptr;
}

/** Only the targets that the request has reached may get it, and these have refused it. */
void entry::resend(const pending_ptr& request, const relay_answer& refusal) {
    const auto target = choose_shedding_target(*request);
    if (!target || !try_take_retry(*request, refusal)) {
        fail(request, refusal);
        return;
    }
    counters_.count("resends");
    request->plan.on_resend();
    start_attempt(request, target);
}

void entry::on_answer(const pending_ptr& request, const known_target_ptr& target,
                      relay_answer answer) {
    const auto now = runtime_clock::now();
    request->sent_to.reset();
    request->cancel = nullptr;
    record_health(request->request.service, *target, answer, now);
    record_attempt(*request, answer);
    if (answer.load) {
        target->on_report(request->route->name, *answer.load, now);
    }
    const auto next = request->plan.on_answer(answer, request->request.deadline - now);
    if (answer.failure.code == errc::quarantined) {
        counters_.count("quarantined");
        fail(request, answer); // no target takes it
        return;
    }
    switch (next) {
    case next_step::deliver:
        if (may_retry_failure(*request, *target, answer, now) &&
            try_take_failure_retry(request->request.service)) {
            counters_.count("failure_repeats");
            request->failure_answer = std::move(answer.message);
            place(request);
            return;
        }
        deliver(request, std::move(answer.message));
        return;
    case next_step::resend:
        resend(request, answer);
        return;
    case next_step::retry:
        if (!try_take_retry(*request, answer)) {
            fail(request, answer);
            return;
        }
        [[fallthrough]];
    case next_step::reroute:
        counters_.count(next == next_step::retry ? "repeats" : "placed_again");
        if (next == next_step::reroute && is_load_rejection(answer)) {
            try_raise_to_guaranteed(*request);
        }
        request->last_failure = std::move(answer);
        place(request);
        return;
    case next_step::fail:
        fail(request, answer);
        return;
    }
}

} // namespace lavenderhoist::relay
