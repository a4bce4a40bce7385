#include "lavenderhoist/logging/line_budget.hpp"

#include <algorithm>
#include <utility>

namespace lavenderhoist::logging {

bool line_budget::take(time_point now) noexcept {
    const std::chrono::duration<double> passed = now - last_;
    const double most = std::max(1.0, rate_); // a whole line must fit in
    balance_ = std::min(most, balance_ + rate_ * passed.count());
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
