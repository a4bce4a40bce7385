#include "lavenderhoist/relay/known_target.hpp"

#include "lavenderhoist/admission/rate_limiter.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace lavenderhoist::relay {

namespace {

/** Assumed if no service time is known, and a bound on the capacity of a target that has hardly
 * served yet. */
constexpr duration min_service_time = std::chrono::milliseconds(1);

/** A target whose backlog takes as long as this is fully loaded. */
constexpr double rate_period_s =
    std::chrono::duration<double>(admission::rate_limiter::burst).count();

/** A run time that was reported longer ago counts as unknown: the target may have become faster,
 * and one that looks slow receives no requests that would show it. */
constexpr duration run_time_lifetime = std::chrono::seconds(5);

} // namespace

known_target::known_target(mesh::host_record record, mesh::distance where)
    : record_(std::move(record)),
      endpoint_(net::make_endpoint(record_.call_address.host, record_.call_address.port)),
      distance_(where) {}

bool known_target::is_available(time_point now) const noexcept {
    return record_.state == mesh::target_state::ready && !is_leaving_ && health_.is_available(now);
}

void known_target::inherit(const known_target& older) {
    is_leaving_ = older.is_leaving_;
    last_report_.rate_limit = older.last_report_.rate_limit;
}

std::optional<rate_hint> known_target::known_rate() const noexcept {
    if (!last_report_.rate_limit) {
        return std::nullopt;
    }
    return rate_hint{*last_report_.rate_limit, record_.target_started_at_ms};
}

double known_target::rate_load(time_point now) const noexcept {
    if (!last_report_.rate_limit) {
        return 0;
    }
    const auto age = std::chrono::duration<double>(report_age(now)).count();
    // The other entries send too: if each relied on the whole rate, they would fill the queue.
    const double covered = *last_report_.rate_limit * age / static_cast<double>(entries_);
    const double backlog = last_report_.rate_backlog + sent_since_report_ - covered;
    return std::max(0.0, backlog) / std::max(1.0, *last_report_.rate_limit * rate_period_s);
}

mesh::candidate known_target::option(const std::string& route, time_point now,
                                     admission::priority default_level) const {
    const int limit = std::max(1, last_report_.limit > 0 ? last_report_.limit : record_.slots);
    const int busy = std::max(last_report_.busy + sent_since_report_, health_.in_flight());
    mesh::candidate result{distance_, static_cast<double>(busy) / limit,
                           known_level(route, now).value_or(default_level),
                           last_report_.service_time, known_run_time(route, now)};
    if (const double load = rate_load(now); load > result.load) {
        result.load = load;
        result.service_time = admission::rate_limiter::burst;
    }
    return result;
}

duration known_target::known_run_time(const std::string& route, time_point now) const {
    const auto received = levels_.find(route);
    const bool is_recent =
        received != levels_.end() && now - received->second.received_at < run_time_lifetime;
    return is_recent ? received->second.run_time : duration(0);
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
    is_leaving_ = is_leaving_ || report.is_leaving; // final for a start
    auto& received = levels_[route];
    received.memory.record(report.level, now);
    received.received_at = now;
    received.run_time = report.run_time;
}

double known_target::capacity() const noexcept {
    const auto service_time = std::max<duration>(last_report_.service_time, min_service_time);
    const double by_slots =
        std::max(1, last_report_.limit) / std::chrono::duration<double>(service_time).count();
    return std::min(by_slots, last_report_.rate_limit.value_or(by_slots));
}

namespace {

struct weighted_level {
    admission::priority level;
    double weight;
};

/** The lowest level at or below which half of the weight lies. */
std::optional<admission::priority> median_of(std::vector<weighted_level>& levels) {
    std::ranges::sort(levels, {}, &weighted_level::level);
    double total = 0;
    for (const auto& each : levels) {
        total += each.weight;
    }
    double covered = 0;
    for (const auto& each : levels) {
        covered += each.weight;
        if (covered * 2 >= total) {
            return each.level;
        }
    }
    return std::nullopt;
}

} // namespace

admission::priority median_level(std::span<const std::shared_ptr<known_target>> targets,
                                 const std::string& route, time_point now) {
    std::vector<weighted_level> available;
    std::vector<weighted_level> excluded;
    for (const auto& target : targets) {
        const auto known = target->known_level(route, now);
        if (!known || target->record().state != mesh::target_state::ready) {
            continue;
        }
        auto& levels = target->is_available(now) ? available : excluded;
        levels.push_back({*known, target->capacity()});
    }
    return median_of(available).value_or(median_of(excluded).value_or(admission::open_level));
}

} // namespace lavenderhoist::relay
