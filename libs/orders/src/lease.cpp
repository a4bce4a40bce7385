#include "lavenderhoist/orders/lease.hpp"

#include <algorithm>

namespace lavenderhoist::orders {

void lease::extend(std::int64_t epoch, time_point requested_at) noexcept {
    if (epoch != epoch_) {
        return; // confirms an epoch that is not this owner's current one
    }
    valid_until_ = std::max(valid_until_, requested_at + times_.length);
}

void lease::on_log_confirmed(std::int64_t epoch, time_point requested_at) noexcept {
    if (epoch != epoch_) {
        return;
    }
    last_log_read_at_ = has_log_read_ ? std::max(last_log_read_at_, requested_at) : requested_at;
    has_log_read_ = true;
    extend(epoch, requested_at);
}

void lease::on_members_confirmed(std::int64_t epoch, time_point requested_at) noexcept {
    if (!has_log_read_ || requested_at + times_.length > last_log_read_at_ + times_.outage_limit) {
        return;
    }
    extend(epoch, requested_at);
}

void lease::on_epoch(std::int64_t epoch) noexcept {
    if (epoch <= epoch_) {
        return;
    }
    epoch_ = epoch;
    valid_until_ = time_point{};
}

time_point lease::valid_until(std::int64_t epoch) const noexcept {
    return epoch == epoch_ ? valid_until_ : time_point{};
}

} // namespace lavenderhoist::orders
