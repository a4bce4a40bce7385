#include "lavenderhoist/admission/guaranteed_share.hpp"

#include <algorithm>

namespace lavenderhoist::admission {
namespace {

/** Requests that may be saved up: a few, so that a class that was quiet doesn't come in at once. */
constexpr double most_saved = 4;

/** Requests served beyond the share that are remembered, so that a class that gets more than its
 * share takes nothing in the gaps between two that are served. */
constexpr double most_ahead = 4;

} // namespace

void guaranteed_share::on_request(std::string_view class_name) {
    auto found = owed_.find(class_name);
    if (found == owed_.end()) {
        found = owed_.emplace(std::string(class_name), 0).first;
    }
    found->second = std::min(found->second + share, most_saved);
}

void guaranteed_share::on_served(std::string_view class_name, bool guaranteed) {
    available_ = std::min(available_ + share, most_saved);
    const auto found = owed_.find(class_name);
    if (found != owed_.end() && !guaranteed) {
        found->second = std::max(found->second - 1, -most_ahead);
    }
}

bool guaranteed_share::try_take(std::string_view class_name) {
    const auto found = owed_.find(class_name);
    if (found == owed_.end() || found->second < 1 || available_ < 1) {
        return false;
    }
    found->second -= 1;
    available_ -= 1;
    return true;
}

} // namespace lavenderhoist::admission
