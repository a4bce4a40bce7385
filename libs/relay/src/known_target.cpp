#include "lavenderhoist/relay/known_target.hpp"

#include <algorithm>
#include <utility>

namespace lavenderhoist::relay {

known_target::known_target(mesh::host_record record, mesh::distance where)
    : record_(std::move(record)),
      endpoint_(net::make_endpoint(record_.call_address.host, record_.call_address.port)),
      distance_(where) {}

bool known_target::is_available(time_point now) const noexcept {
    return record_.state == mesh::target_state::ready && health_.is_available(now);
}

mesh::candidate known_target::option(const std::string& route, time_point now) const {
    const int limit = std::max(1, last_report_.limit > 0 ? last_report_.limit : record_.slots);
    const int busy = std::max(last_report_.busy + sent_since_report_, health_.in_flight());
    return {distance_, static_cast<double>(busy) / limit, level(route, now)};
}

admission::priority known_target::level(const std::string& route, time_point now) const {
    return known_level(route, now).value_or(admission::open_level);
}

std::optional<admission::priority> known_target::known_level(const std::string& route,
                                                             time_point now) const {
    const auto received = levels_.find(route);
    if (received == levels_.end() ||
        now - received->second.received_at >= routing::decaying_level::lifetime) {
        return std::nullopt;
    }
    return received->second.memory.level(now);
}

bool known_target::has_stale_level(const std::string& route, duration age, time_point now) const {
    const auto received = levels_.find(route);
    return received != levels_.end() &&
           received->second.memory.level(now) > admission::open_level &&
           now - received->second.received_at > age;
}

void known_target::on_sent() noexcept {
    health_.on_sent();
    ++sent_since_report_;
}

void known_target::on_report(const std::string& route, const load_report& report, time_point now) {
    last_report_ = report;
    last_report_at_ = now;
    sent_since_report_ = 0;
    auto& received = levels_[route];
    received.memory.record(report.level, now);
    received.received_at = now;
}

admission::priority min_known_level(std::span<const std::shared_ptr<known_target>> targets,
                                    const std::string& route, time_point now) {
    std::optional<admission::priority> available;
    std::optional<admission::priority> excluded;
    for (const auto& target : targets) {
        const auto known = target->known_level(route, now);
        if (!known || target->record().state != mesh::target_state::ready) {
            continue;
        }
        auto& min_level = target->is_available(now) ? available : excluded;
        min_level = std::min(min_level.value_or(*known), *known);
    }
    return available.value_or(excluded.value_or(admission::open_level));
}

} // namespace lavenderhoist::relay
