#include "lavenderhoist/relay/internal/entry_state.hpp"

#include "lavenderhoist/core/hash.hpp"

#include <algorithm>
#include <utility>

namespace lavenderhoist::relay {

namespace {

constexpr int status_server_error = 500;

/** Share of the allowed repeats that is used: calls below a repeat count as repeats as well. */
constexpr double repeat_share = 0.5;

/** Of a service's requests, the share that may be repeated after a target's own failure: many times
 * what targets fail by themselves. More of them fail for a common cause below, and repeating them
 * would multiply the calls to it. */
constexpr double failure_repeat_ratio = 0.01;

/** True if a request that has not run was refused for others that are at work or more important. */
bool is_refused_by_load(const relay_answer& answer) {
    const auto& cause = answer.failure.code;
    return answer.result == execution::not_run &&
           (cause == errc::overloaded || cause == errc::queue_full || cause == errc::refused_early);
}

} // namespace

mesh::repeat_budget::limits entry::budget_limits() const {
    const auto nodes = std::max<std::size_t>(1, hosts_ ? hosts_->size() : 1);
    return {settings_.repeat_ratio * repeat_share,
            settings_.repeat_extra * repeat_share / static_cast<double>(nodes),
            settings_.repeat_window};
}

bool entry::take_repeat(const std::string& service) {
    return services_[service].budget.take(runtime_clock::now(), budget_limits());
}

bool entry::take_failure_repeat(const std::string& service) {
    const auto bounds = budget_limits();
    const mesh::repeat_budget::limits own{failure_repeat_ratio, 0, bounds.window};
    auto& known = services_[service];
    return known.failure_budget.take(runtime_clock::now(), own) && take_repeat(service);
}

std::vector<entry::known_target_ptr> entry::targets_for(const pending& request, bool stopping_too,
                                                        time_point now) {
    std::vector<known_target_ptr> found;
    for (const auto& target : services_[request.request.service].targets) {
        const bool is_left_out = !target->takes_work(now) ||
                                 (target->is_stopping() && !stopping_too) ||
                                 std::ranges::find(request.tried, target) != request.tried.end();
        if (!is_left_out) {
            found.push_back(target);
        }
    }
    return found;
}

entry::known_target_ptr entry::choose(const pending& request, bool& all_refuse) {
    const auto now = runtime_clock::now();
    // A node that stops serves on for some seconds, for those who know no other.
    auto targets = targets_for(request, false, now);
    if (targets.empty()) {
        targets = targets_for(request, true, now);
    }
    std::vector<mesh::option> options;
    for (const auto& target : targets) {
        options.push_back(target->option(request.route->name, now));
    }
    // Work that has begun elsewhere is not turned away by levels: its cost is already paid.
    const int importance =
        request.request.under_way ? admission::closed_level : request.request.importance;
    const auto index = placement_.choose(options, importance);
    all_refuse = !index && !options.empty();
    return index ? targets[*index] : nullptr;
}

bool entry::raise(pending& request) {
    if (request.request.under_way || request.is_guaranteed() ||
        !guaranteed_.try_take(request.route->name)) {
        return false;
    }
    request.request.importance =
        admission::make_priority(admission::guaranteed_rank, stable_hash(request.request.id));
    request.tried.clear(); // who refused it may take it now
    counters_.count("raised");
    return true;
}

void entry::place(const pending_ptr& request) {
    bool all_refuse = false;
    auto target = choose(*request, all_refuse);
    if (!target && all_refuse && raise(*request)) {
        target = choose(*request, all_refuse);
    }
    if (!target) {
        auto failed = request->last_failure;
        if (request->plan.placements() == 0) {
            failed =
                make_failure(execution::not_run, all_refuse ? errc::refused_early : errc::no_target,
                             step::route, request->request.service);
        }
        give_up(request, failed);
        return;
    }
    try_target(request, target);
}

void entry::try_target(const pending_ptr& request, const known_target_ptr& target) {
    const auto number = ++request->tries;
    request->plan.on_try();
    request->tried.push_back(target);
    request->sent_to = target;
    request->cancel = nullptr;
    target->on_sent();
    auto done = [this, request, target, number](relay_answer answer) {
        if (!request->finished && request->tries == number) {
            on_answer(request, target, std::move(answer));
        }
    };
    std::function<void()> cancel;
    if (target->record().id == settings_.node_id) {
        const auto ticket = own_target_.submit(request->request, std::move(done));
        cancel = [this, ticket] { own_target_.cancel(ticket); };
    } else {
        cancel = peers_.submit(target->endpoint(), target->record().id, request->request,
                               std::move(done));
    }
    if (!request->finished && request->tries == number) {
        request->cancel = std::move(cancel);
    }
}

bool entry::may_eject_for_shedding(const std::string& service, time_point now) const {
    const auto& targets = services_.at(service).targets;
    const auto available = std::ranges::count_if(
        targets, [now](const known_target_ptr& each) { return each->takes_work(now); });
    return available * 2 > static_cast<std::ptrdiff_t>(targets.size()) + 1;
}

void entry::note_health(const std::string& service, known_target& target,
                        const relay_answer& answer, time_point now) {
    const bool is_absent =
        answer.failure.code == errc::peer_lost || answer.failure.code == errc::target_lost ||
        answer.failure.code == errc::no_target || answer.failure.code == errc::draining;
    // Where most targets shed, the few that are left would get everything and be overloaded.
    const bool sheds_alone =
        answer.failure.code == errc::target_shed && may_eject_for_shedding(service, now);
    if (is_absent || sheds_alone) {
        target.health().on_failure(now);
        return;
    }
    target.health().on_answer();
}

bool entry::is_worth_another(const pending& request, const known_target& target,
                             const relay_answer& answer, time_point now) const {
    // Under overload a failure often comes from a refused call, and a repeat would add to the load.
    const bool is_loaded = target.level(request.route->name, now) > admission::open_level ||
                           target.option(request.route->name, now).load > mesh::placement::room;
    return answer.message.status == status_server_error && !is_loaded &&
           request.plan.may_ask_another(request.request.deadline - now);
}

void entry::on_answer(const pending_ptr& request, const known_target_ptr& target,
                      relay_answer answer) {
    const auto now = runtime_clock::now();
    request->sent_to.reset();
    request->cancel = nullptr;
    note_health(request->request.service, *target, answer, now);
    if (answer.load) {
        target->on_report(request->route->name, *answer.load, now);
    }
    const auto next = request->plan.on_answer(answer, request->request.deadline - now);
    switch (next) {
    case next_step::deliver:
        if (is_worth_another(*request, *target, answer, now) &&
            take_failure_repeat(request->request.service)) {
            counters_.count("failure_repeats");
            request->own_failure = std::move(answer.message);
            place(request);
            return;
        }
        deliver(request, std::move(answer.message));
        return;
    case next_step::repeat:
        if (!take_repeat(request->request.service)) {
            give_up(request, answer);
            return;
        }
        [[fallthrough]];
    case next_step::place_again:
        counters_.count(next == next_step::repeat ? "repeats" : "placed_again");
        if (next == next_step::place_again && is_refused_by_load(answer)) {
            raise(*request);
        }
        request->last_failure = std::move(answer);
        place(request);
        return;
    case next_step::give_up:
        give_up(request, answer);
        return;
    }
}

} // namespace lavenderhoist::relay
