#include "lavenderhoist/mesh/windowed_retry_budget.hpp"

#include <algorithm>

namespace lavenderhoist::mesh {

std::int64_t windowed_retry_budget::bucket_number(time_point now, const limits& bounds) {
    return now.time_since_epoch() / (bounds.window / static_cast<int>(buckets_per_window));
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

void windowed_retry_budget::on_inherited_retry(time_point now, const limits& bounds) {
    ++bucket_at(now, bounds).retries;
}

int windowed_retry_budget::requests_until(std::int64_t last) const {
    int total = 0;
    for (const auto& each : buckets_) {
        if (each.number >= last - buckets_per_window && each.number <= last) {
            total += each.requests;
        }
    }
    return total;
}

int windowed_retry_budget::retries_until(std::int64_t last) const {
    int total = 0;
    for (const auto& each : buckets_) {
        if (each.number >= last - buckets_per_window && each.number <= last) {
            total += each.retries;
        }
    }
    return total;
}

double windowed_retry_budget::allowed_at(std::int64_t number, const limits& bounds) const {
    int requests = requests_until(number);
    if (bounds.counts_earlier_windows) {
        requests = std::max({requests, requests_until(number - buckets_per_window / 2),
                             requests_until(number - buckets_per_window)});
    }
    return bounds.ratio * requests + bounds.extra;
}

bool windowed_retry_budget::try_take(time_point now, const limits& bounds) {
    auto& present = bucket_at(now, bounds);
    if (retries_until(present.number) + 1 > allowed_at(present.number, bounds)) {
        return false;
    }
    ++present.retries;
    return true;
}

double windowed_retry_budget::sustained_rate(time_point now, const limits& bounds) const {
    return allowed_at(bucket_number(now, bounds), bounds) /
           std::chrono::duration<double>(bounds.window).count();
}

} // namespace lavenderhoist::mesh
