#include "lavenderhoist/admission/wait_queue.hpp"

#include <iterator>

namespace lavenderhoist::admission {

wait_queue::position wait_queue::position_of(const request_info& request,
                                             time_point queued_at) noexcept {
    return {-rank_of(request.importance), !request.is_nested, queued_at.time_since_epoch().count(),
            request.id};
}

void wait_queue::push(const request_info& request, time_point now) {
    const auto where = position_of(request, now);
    entries_.emplace(where, entry{request, now});
    positions_.emplace(request.id, where);
}

std::optional<wait_queue::entry> wait_queue::pop() {
    if (entries_.empty()) {
        return std::nullopt;
    }
    const auto first = entries_.begin();
    const auto result = first->second;
    entries_.erase(first);
    positions_.erase(result.request.id);
    return result;
}

const wait_queue::entry* wait_queue::last() const noexcept {
    return entries_.empty() ? nullptr : &std::prev(entries_.end())->second;
}

bool wait_queue::is_before_last(const request_info& request, time_point now) const noexcept {
    return !entries_.empty() && position_of(request, now) < std::prev(entries_.end())->first;
}

std::size_t wait_queue::count_ahead(const request_info& request, time_point now) const {
    const auto where = entries_.lower_bound(position_of(request, now));
    return static_cast<std::size_t>(std::distance(entries_.begin(), where));
}

bool wait_queue::remove(std::uint64_t id) {
    const auto found = positions_.find(id);
    if (found == positions_.end()) {
        return false;
    }
    entries_.erase(found->second);
    positions_.erase(found);
    return true;
}

std::vector<wait_queue::entry> wait_queue::take_expired(time_point expired_until) {
    std::vector<entry> expired;
    for (const auto& [where, waiting] : entries_) {
        if (waiting.request.deadline <= expired_until) {
            expired.push_back(waiting);
        }
    }
    for (const auto& each : expired) {
        remove(each.request.id);
    }
    return expired;
}

} // namespace lavenderhoist::admission
