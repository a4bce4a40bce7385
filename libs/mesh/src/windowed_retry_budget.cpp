#include "lavenderhoist/mesh/windowed_retry_budget.hpp"

namespace lavenderhoist::mesh {

std::int64_t windowed_retry_budget::bucket_number(time_point now, const limits& bounds) const {
    return now.time_since_epoch() / (bounds.window / static_cast<int>(bucket_count));
}

windowed_retry_budget::bucket& windowed_retry_budget::bucket_at(time_point now,
                                                                const limits& bounds) {
    const auto number = bucket_number(now, bounds);
    auto& found = buckets_[static_cast<std::size_t>(number) % buckets_.size()];
    if (found.number != number) {
        found = {number, 0, 0};
    }
    return found;
}

void windowed_retry_budget::on_request(time_point now, const limits& bounds) {
    ++bucket_at(now, bounds).requests;
}

bool windowed_retry_budget::try_take(time_point now, const limits& bounds) {
    auto& present = bucket_at(now, bounds);
    const auto oldest = present.number - static_cast<std::int64_t>(bucket_count);
    int requests = 0;
    int retries = 0;
    for (const auto& each : buckets_) {
        if (each.number < oldest) {
            continue;
        }
        requests += each.requests;
        retries += each.retries;
    }
    if (retries + 1 > bounds.ratio * requests + bounds.extra) {
        return false;
    }
    ++present.retries;
    return true;
}

} // namespace lavenderhoist::mesh
