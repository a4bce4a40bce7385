#include "lavenderhoist/relay/known_target.hpp"

#include <algorithm>
#include <utility>

namespace lavenderhoist::relay {

known_target::known_target(mesh::host_record record, mesh::distance where)
    : record_(std::move(record)),
      endpoint_(net::make_endpoint(record_.calls.host, record_.calls.port)),
      where_(where) {}

bool known_target::takes_work(time_point now) const noexcept {
    return record_.state == mesh::target_state::ready && health_.is_available(now);
}

mesh::option known_target::option(const std::string& route, time_point now) const {
    const int limit = std::max(1, last_.limit > 0 ? last_.limit : record_.slots);
    const int busy = std::max(last_.busy + sent_since_report_, health_.in_flight());
    return {where_, static_cast<double>(busy) / limit, level(route, now)};
}

admission::priority known_target::level(const std::string& route, time_point now) const {
    return known_level(route, now).value_or(admission::open_level);
}

std::optional<admission::priority> known_target::known_level(const std::string& route,
                                                             time_point now) const {
    const auto heard = levels_.find(route);
    if (heard == levels_.end() || now - heard->second.when >= routing::decaying_level::lifetime) {
        return std::nullopt;
    }
    return heard->second.memory.level(now);
}

bool known_target::has_stale_level(const std::string& route, duration age, time_point now) const {
    const auto heard = levels_.find(route);
    return heard != levels_.end() && heard->second.memory.level(now) > admission::open_level &&
           now - heard->second.when > age;
}

void known_target::on_sent() noexcept {
    health_.on_sent();
    ++sent_since_report_;
}

void known_target::on_report(const std::string& route, const load_report& report, time_point now) {
    last_ = report;
    reported_ = now;
    sent_since_report_ = 0;
    auto& heard = levels_[route];
    heard.memory.record(report.level, now);
    heard.when = now;
}

admission::priority lowest_known_level(std::span<const std::shared_ptr<known_target>> targets,
                                       const std::string& route, time_point now) {
    std::optional<admission::priority> available;
    std::optional<admission::priority> left_out;
    for (const auto& target : targets) {
        const auto known = target->known_level(route, now);
        if (!known || target->record().state != mesh::target_state::ready) {
            continue;
        }
        auto& lowest = target->takes_work(now) ? available : left_out;
        lowest = std::min(lowest.value_or(*known), *known);
    }
    return available.value_or(left_out.value_or(admission::open_level));
}

} // namespace lavenderhoist::relay
