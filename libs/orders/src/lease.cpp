#include "lavenderhoist/orders/lease.hpp"

#include <algorithm>

namespace lavenderhoist::orders {

void lease::extend(std::int64_t epoch, time_point asked) noexcept {
    if (epoch != epoch_) {
        return; // an answer about an epoch that this owner does not act in
    }
    until_ = std::max(until_, asked + times_.length);
}

void lease::on_log_confirmed(std::int64_t epoch, time_point asked) noexcept {
    if (epoch != epoch_) {
        return;
    }
    last_log_read_ = has_log_read_ ? std::max(last_log_read_, asked) : asked;
    has_log_read_ = true;
    extend(epoch, asked);
}

void lease::on_members_confirmed(std::int64_t epoch, time_point asked) noexcept {
    if (!has_log_read_ || asked + times_.length > last_log_read_ + times_.outage_limit) {
        return;
    }
    extend(epoch, asked);
}

void lease::on_epoch(std::int64_t epoch) noexcept {
    if (epoch <= epoch_) {
        return;
    }
    epoch_ = epoch;
    until_ = time_point{};
}

time_point lease::valid_until(std::int64_t epoch) const noexcept {
    return epoch == epoch_ ? until_ : time_point{};
}

} // namespace lavenderhoist::orders
