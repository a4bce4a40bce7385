#include "lavenderhoist/quarantine/crash_ledger.hpp"

#include <algorithm>

namespace lavenderhoist::quarantine {

bool crash_ledger::is_current(const suspicion& each, milliseconds now) noexcept {
    return now - each.seen_at < suspicion_lifetime;
}

bool crash_ledger::counts(const suspicion& each, milliseconds now) noexcept {
    return !each.is_cleared && is_current(each, now);
}

std::vector<suspicion>
crash_ledger::on_end(std::uint64_t end, std::span<const std::uint64_t> running, milliseconds now) {
    std::vector<suspicion> raised;
    for (const auto request : running) {
        auto& last = slot_of(request);
        if (last.request == request && now - last.at < innocence_lifetime) {
            last = {}; // excuses it once
            continue;
        }
        raised.push_back({request, end, now});
    }
    merge(raised, now);
    return raised;
}

std::vector<suspicion> crash_ledger::on_completed(std::uint64_t request, milliseconds now) {
    slot_of(request) = {request, now};
    std::vector<suspicion> cleared;
    const auto found = suspects_.find(request);
    if (found == suspects_.end()) {
        return cleared;
    }
    for (auto& [end, each] : found->second) {
        if (!each.is_cleared) {
            each.is_cleared = true;
            cleared.push_back(each);
        }
    }
    return cleared;
}

std::size_t crash_ledger::merge(std::span<const suspicion> found, milliseconds now) {
    std::size_t news = 0;
    for (const auto& each : found) {
        if (!is_current(each, now)) {
            continue;
        }
        if (!suspects_.contains(each.request)) {
            make_room(now);
        }
        const auto [known, is_new] = suspects_[each.request].try_emplace(each.end, each);
        const bool clears = each.is_cleared && !known->second.is_cleared;
        known->second.is_cleared = known->second.is_cleared || each.is_cleared;
        news += is_new || clears ? 1 : 0;
    }
    return news;
}

void crash_ledger::make_room(milliseconds now) {
    if (suspects_.size() < max_requests) {
        return;
    }
    const auto newest_of = [](const auto& entry) {
        return std::ranges::max_element(entry.second, {},
                                        [](const auto& each) { return each.second.seen_at; })
            ->second.seen_at;
    };
    std::erase_if(suspects_,
                  [&](const auto& entry) { return now - newest_of(entry) >= suspicion_lifetime; });
    if (suspects_.size() >= max_requests) {
        suspects_.erase(std::ranges::min_element(suspects_, {}, newest_of));
    }
}

bool crash_ledger::is_suspect(std::uint64_t request, milliseconds now) const {
    const auto found = suspects_.find(request);
    return found != suspects_.end() && std::ranges::any_of(found->second, [now](const auto& each) {
               return counts(each.second, now);
           });
}

bool crash_ledger::is_quarantined(std::uint64_t request, milliseconds now) const {
    return !grounds(request, now).empty();
}

std::vector<suspicion> crash_ledger::suspicions(milliseconds now) const {
    std::vector<suspicion> all;
    for (const auto& [request, seen] : suspects_) {
        for (const auto& [end, each] : seen) {
            if (is_current(each, now)) {
                all.push_back(each);
            }
        }
    }
    return all;
}

std::vector<suspicion> crash_ledger::grounds(std::uint64_t request, milliseconds now) const {
    std::vector<suspicion> found;
    const auto known = suspects_.find(request);
    if (known == suspects_.end()) {
        return found;
    }
    for (const auto& [end, each] : known->second) {
        if (counts(each, now)) {
            found.push_back(each);
        }
    }
    if (found.size() < ends_to_quarantine) {
        found.clear();
    }
    return found;
}

} // namespace lavenderhoist::quarantine
