#include "lavenderhoist/logging/log.hpp"
#include "lavenderhoist/relay/internal/entry_state.hpp"
#include "lavenderhoist/relay/run_progress.hpp"

#include <algorithm>

namespace lavenderhoist::relay {

namespace {

/** A level above open that was reported longer ago is requested again. */
constexpr duration max_level_age = std::chrono::milliseconds(150);

/** Levels are kept up to date for routes that had a request within this time. */
constexpr duration route_retention = std::chrono::seconds(5);

/** Least time between two series of log lines about limited runs. */
constexpr duration limited_runs_log_interval = std::chrono::seconds(1);

/** Bound on load queries for a route in one pass, since a service may have many targets. */
constexpr int max_queries_per_route = 4;

} // namespace

admission::priority entry::service_level(const std::string& route, const std::string& service,
                                         time_point now) const {
    const auto found = services_.find(service);
    if (found == services_.end()) {
        return admission::open_level;
    }
    return median_level(found->second.targets, route, now);
}

std::optional<admission::priority> entry::callee_level(const std::string& route) const {
    const auto found = callees_.find(route);
    if (found == callees_.end()) {
        return std::nullopt;
    }
    const auto now = runtime_clock::now();
    std::optional<admission::priority> max_level;
    for (const auto& callee : found->second) {
        if (now - callee.last_call < route_retention) {
            max_level = std::max({max_level.value_or(admission::open_level),
                                  service_level(callee.route, callee.service, now),
                                  callee.capacity.level()});
        }
    }
    return max_level;
}

entry::known_callee* entry::find_callee(const pending& call) {
    const auto callees = callees_.find(call.parent_route);
    if (callees == callees_.end()) {
        return nullptr;
    }
    const auto found = std::ranges::find_if(callees->second, [&call](const known_callee& each) {
        return each.route == call.route->name && each.service == call.request.service;
    });
    return found == callees->second.end() ? nullptr : &*found;
}

void entry::record_call(const pending& call) {
    auto* known = find_callee(call);
    if (known == nullptr) {
        auto& callees = callees_[call.parent_route];
        std::erase_if(callees, [&call](const known_callee& each) {
            return call.started_at - each.last_call > route_retention;
        });
        callees.push_back({call.route->name, call.request.service, call.started_at});
        known = &callees.back();
    }
    known->last_call = call.started_at;
    auto* const progress = local_target_.find_progress(parent_of(call.request.id));
    if (progress != nullptr && ++progress->calls == 1) {
        known->capacity.on_run(call.request.importance);
    }
}

void entry::on_run_completed(const std::string& route, int calls) {
    const auto callees = callees_.find(route);
    if (callees == callees_.end()) {
        return;
    }
    for (auto& callee : callees->second) {
        callee.capacity.on_run_completed(calls);
    }
}

void entry::record_attempt(const pending& request, const relay_answer& answer) {
    if (!request.request.is_nested) {
        return;
    }
    if (auto* const callee = find_callee(request); callee != nullptr && answer.reached_target) {
        callee->capacity.on_attempt(answer.failure.code == errc::target_shed);
    }
    const bool is_completed =
        answer.result == execution::answered && answer.message.status < first_error_status;
    auto* const progress = local_target_.find_progress(parent_of(request.request.id));
    if (progress != nullptr && is_completed) {
        ++progress->completed;
    }
}

void entry::on_window() {
    const auto now = runtime_clock::now();
    std::unordered_map<std::string, int> attempts; // by service
    for (const auto& [route, callees] : callees_) {
        for (const auto& callee : callees) {
            attempts[callee.service] += callee.capacity.recent_attempts();
        }
    }
    for (auto& [route, callees] : callees_) {
        for (auto& callee : callees) {
            const auto rate =
                services_[callee.service].budget.sustained_rate(now, chain_budget_limits());
            const auto share = static_cast<double>(callee.capacity.recent_attempts()) /
                               std::max(1, attempts[callee.service]);
            callee.capacity.on_window(rate * share);
        }
    }
    log_limited_runs(now);
}

void entry::log_limited_runs(time_point now) {
    if (now - limited_runs_logged_at_ < limited_runs_log_interval) {
        return;
    }
    for (const auto& [route, callees] : callees_) {
        for (const auto& callee : callees) {
            if (const auto runs = callee.capacity.runs_per_second()) {
                limited_runs_logged_at_ = now;
                logging::log_line(logging::severity::info, "runs limited",
                                  {{"route", route},
                                   {"callee", callee.service},
                                   {"shed_share", callee.capacity.shed_share()},
                                   {"attempts", callee.capacity.recent_attempts()},
                                   {"runs_per_second", *runs},
                                   {"level", callee.capacity.level()}});
            }
        }
    }
}

void entry::refresh_levels() {
    const auto now = runtime_clock::now();
    for (auto& [name, service] : services_) {
        std::erase_if(service.last_request_at,
                      [now](const auto& each) { return now - each.second > route_retention; });
        for (const auto& [route, last] : service.last_request_at) {
            request_levels(route, service, now);
        }
    }
}

void entry::request_levels(const std::string& route, known_service& service, time_point now) {
    int queries = 0;
    for (const auto& target : service.targets) {
        if (queries == max_queries_per_route) {
            return;
        }
        if (target->record().id == settings_.node_id ||
            !target->has_stale_level(route, max_level_age, now)) {
            continue;
        }
        ++queries;
        peers_.request_load(target->endpoint(), route, [target, route](const load_report& load) {
            target->on_report(route, load, runtime_clock::now());
        });
    }
}

} // namespace lavenderhoist::relay
