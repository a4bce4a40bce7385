#include "lavenderhoist/relay/internal/entry_state.hpp"

#include <algorithm>

namespace lavenderhoist::relay {

namespace {

/** A level in force that was heard longer ago is asked for. */
constexpr duration level_age = std::chrono::milliseconds(150);

/** Levels are kept fresh for routes that had a request within this time. */
constexpr duration route_memory = std::chrono::seconds(5);

/** Questions for one route at a time; a service may have many targets. */
constexpr int questions_per_route = 4;

} // namespace

admission::priority entry::lowest_level(const std::string& route, const std::string& service,
                                        time_point now) const {
    const auto found = services_.find(service);
    if (found == services_.end()) {
        return admission::open_level;
    }
    return lowest_known_level(found->second.targets, route, now);
}

std::optional<admission::priority> entry::callee_level(const std::string& route) const {
    const auto found = callees_.find(route);
    if (found == callees_.end()) {
        return std::nullopt;
    }
    const auto now = runtime_clock::now();
    std::optional<admission::priority> highest;
    for (const auto& callee : found->second) {
        if (now - callee.last_call < route_memory) {
            highest = std::max(highest.value_or(admission::open_level),
                               lowest_level(callee.route, callee.service, now));
        }
    }
    return highest;
}

void entry::note_call(const std::string& parent_route, const pending& call) {
    auto& callees = callees_[parent_route];
    const auto found = std::ranges::find_if(callees, [&call](const known_callee& each) {
        return each.route == call.route->name && each.service == call.request.service;
    });
    if (found != callees.end()) {
        found->last_call = call.began;
        return;
    }
    std::erase_if(callees, [&call](const known_callee& each) {
        return call.began - each.last_call > route_memory;
    });
    callees.push_back({call.route->name, call.request.service, call.began});
}

void entry::refresh_levels() {
    const auto now = runtime_clock::now();
    for (auto& [name, service] : services_) {
        std::erase_if(service.wanted,
                      [now](const auto& each) { return now - each.second > route_memory; });
        for (const auto& [route, last] : service.wanted) {
            ask_levels(route, service, now);
        }
    }
}

void entry::ask_levels(const std::string& route, known_service& service, time_point now) {
    int asked = 0;
    for (const auto& target : service.targets) {
        if (asked == questions_per_route) {
            return;
        }
        if (target->record().id == settings_.node_id ||
            !target->has_stale_level(route, level_age, now)) {
            continue;
        }
        ++asked;
        peers_.ask_load(target->endpoint(), route, [target, route](const load_report& load) {
            target->on_report(route, load, runtime_clock::now());
        });
    }
}

} // namespace lavenderhoist::relay
