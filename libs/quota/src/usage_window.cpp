#include "lavenderhoist/quota/usage_window.hpp"

#include <algorithm>

namespace lavenderhoist::quota {

namespace {

double in_seconds(duration length) noexcept {
    return std::chrono::duration<double>(length).count();
}

} // namespace

void usage_window::add(const usage& more, time_point now) noexcept {
    const auto number = number_at(now);
    auto& current = slots_[static_cast<std::size_t>(number) % slots_.size()];
    if (current.number != number) {
        current = {number, {}};
    }
    current.counts += more;
}

usage usage_window::sum(time_point now, duration within) const noexcept {
    const auto last = number_at(now);
    const auto first = last - within / slot_length;
    usage total;
    for (const auto& each : slots_) {
        if (each.number >= first && each.number <= last) {
            total += each.counts;
        }
    }
    return total;
}

double usage_window::tokens(const rate_quota& quota, time_point now) const noexcept {
    const auto last = number_at(now);
    const auto refill = quota.per_second * in_seconds(slot_length);
    const auto capacity = quota.burst + refill; // what a slot admits arrives with its refill
    double held = capacity;
    for (auto number = last - static_cast<std::int64_t>(slot_count); number <= last; ++number) {
        const auto& each = slots_[static_cast<std::size_t>(number) % slots_.size()];
        const bool is_used = each.number == number;
        held -= is_used ? static_cast<double>(each.counts.admitted) : 0;
        if (number < last) {
            held = std::min(capacity, held + refill);
        }
    }
    return held;
}

double usage_window::admission_share(const rate_quota& quota, time_point now) const noexcept {
    const auto since_slot_began = now.time_since_epoch() % slot_length;
    const auto measured = in_seconds(demand_time + since_slot_began);
    const auto demand = static_cast<double>(sum(now, demand_time).asked) / measured;
    const auto target = quota.per_second + tokens(quota, now) / balance_time.count();
    if (demand <= target) {
        return 1;
    }
    return std::clamp(target / demand, 0.0, 1.0);
}

} // namespace lavenderhoist::quota
