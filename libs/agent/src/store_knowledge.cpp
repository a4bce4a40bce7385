#include "lavenderhoist/agent/store_knowledge.hpp"

#include <algorithm>

namespace lavenderhoist::agent {

void store_knowledge::on_confirmed(time_point as_of) noexcept {
    if (as_of <= as_of_) {
        return;
    }
    as_of_ = as_of;
    if (as_of_ + max_age > next_read_at_) {
        next_read_at_ = as_of_ + max_age;
        backoff_ = min_backoff;
    }
}

void store_knowledge::on_read(time_point now) noexcept {
    next_read_at_ = now + backoff_;
    backoff_ = std::min(backoff_ * 2, max_backoff);
}

} // namespace lavenderhoist::agent
