#include "lavenderhoist/relay/internal/entry_state.hpp"

#include <algorithm>

namespace lavenderhoist::relay {

namespace {

/** A level above open that was reported longer ago is requested again. */
constexpr duration max_level_age = std::chrono::milliseconds(150);

/** Levels are kept up to date for routes that had a request within this time. */
constexpr duration route_retention = std::chrono::seconds(5);

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
            max_level = std::max(max_level.value_or(admission::open_level),
                                 service_level(callee.route, callee.service, now));
        }
    }
    return max_level;
}

void entry::record_call(const std::string& parent_route, const pending& call) {
    auto& callees = callees_[parent_route];
    const auto found = std::ranges::find_if(callees, [&call](const known_callee& each) {
        return each.route == call.route->name && each.service == call.request.service;
    });
    if (found != callees.end()) {
        found->last_call = call.started_at;
        return;
    }
    std::erase_if(callees, [&call](const known_callee& each) {
        return call.started_at - each.last_call > route_retention;
    });
    callees.push_back({call.route->name, call.request.service, call.started_at});
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
