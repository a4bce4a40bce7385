#include "lavenderhoist/retry/retry_budget.hpp"

#include <algorithm>

namespace lavenderhoist::retry {

void retry_budget::on_success() noexcept {
    balance_ = std::min(capacity, balance_ + deposit);
}

bool retry_budget::try_withdraw() noexcept {
    if (balance_ < 1) {
        return false;
    }
    balance_ -= 1;
    return true;
}

} // namespace lavenderhoist::retry
