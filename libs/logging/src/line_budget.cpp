#include "lavenderhoist/logging/line_budget.hpp"

#include <algorithm>
#include <utility>

namespace lavenderhoist::logging {

bool line_budget::take(time_point now) noexcept {
    const std::chrono::duration<double> passed = now - last_;
    // At least one whole line, also at rates below one line a second.
    const double max_balance = std::max(1.0, rate_);
    balance_ = std::min(max_balance, balance_ + rate_ * passed.count());
    last_ = now;
    if (balance_ < 1) {
        ++suppressed_;
        return false;
    }
    balance_ -= 1;
    return true;
}

std::uint64_t line_budget::take_suppressed() noexcept {
    return std::exchange(suppressed_, 0);
}

} // namespace lavenderhoist::logging
