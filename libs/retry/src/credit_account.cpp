#include "lavenderhoist/retry/credit_account.hpp"

#include <algorithm>

namespace lavenderhoist::retry {

credit_account::credit_account(int granted) noexcept : balance_(std::max(0, granted)) {}

bool credit_account::try_spend() noexcept {
    if (balance_ == 0) {
        return false;
    }
    --balance_;
    return true;
}

int credit_account::split_for_call() noexcept {
    const int share = (balance_ + 1) / 2;
    balance_ -= share;
    return share;
}

void credit_account::refund(int unused, int carried) noexcept {
    balance_ += std::clamp(unused, 0, carried);
}

} // namespace lavenderhoist::retry
