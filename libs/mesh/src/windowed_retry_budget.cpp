#include "lavenderhoist/mesh/windowed_retry_budget.hpp"

namespace lavenderhoist::mesh {

std::int64_t windowed_retry_budget::number_of(time_point now, const limits& bounds) const {
    return now.time_since_epoch() / (bounds.window / static_cast<int>(parts));
}

windowed_retry_budget::part& windowed_retry_budget::part_at(time_point now, const limits& bounds) {
    const auto number = number_of(now, bounds);
    auto& found = parts_[static_cast<std::size_t>(number) % parts_.size()];
    if (found.number != number) {
        found = {number, 0, 0};
    }
    return found;
}

void windowed_retry_budget::on_request(time_point now, const limits& bounds) {
    ++part_at(now, bounds).requests;
}

bool windowed_retry_budget::try_take(time_point now, const limits& bounds) {
    auto& present = part_at(now, bounds);
    const auto oldest = present.number - static_cast<std::int64_t>(parts);
    int requests = 0;
    int repeats = 0;
    for (const auto& each : parts_) {
        if (each.number < oldest) {
            continue;
        }
        requests += each.requests;
        repeats += each.repeats;
    }
    if (repeats + 1 > bounds.ratio * requests + bounds.extra) {
        return false;
    }
    ++present.repeats;
    return true;
}

} // namespace lavenderhoist::mesh
