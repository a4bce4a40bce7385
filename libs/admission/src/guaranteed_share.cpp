#include "lavenderhoist/admission/guaranteed_share.hpp"

#include <algorithm>

namespace lavenderhoist::admission {
namespace {

/** Unused requests that a balance accumulates: few, so that a class is not admitted in a burst
 * after an idle period. */
constexpr double max_balance = 4;

/** Requests served beyond the share that are counted against later ones, so that a class that is
 * served more than its share claims none in the gaps between its served requests. */
constexpr double max_debt = 4;

} // namespace

void guaranteed_share::on_request(std::string_view class_name) {
    auto found = balances_.find(class_name);
    if (found == balances_.end()) {
        found = balances_.emplace(std::string(class_name), 0).first;
    }
    found->second = std::min(found->second + share, max_balance);
}

void guaranteed_share::on_served(std::string_view class_name, bool guaranteed, bool restricted) {
    if (restricted) {
        total_balance_ = std::min(total_balance_ + share, max_balance);
    }
    const auto found = balances_.find(class_name);
    if (found != balances_.end() && !guaranteed) {
        found->second = std::max(found->second - 1, -max_debt);
    }
}

bool guaranteed_share::try_take(std::string_view class_name) {
    const auto found = balances_.find(class_name);
    if (found == balances_.end() || found->second < 1 || total_balance_ < 1) {
        return false;
    }
    found->second -= 1;
    total_balance_ -= 1;
    return true;
}

} // namespace lavenderhoist::admission
