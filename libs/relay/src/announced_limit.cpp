#include "lavenderhoist/relay/announced_limit.hpp"

#include "lavenderhoist/relay/target_notice.hpp"

#include <algorithm>

namespace lavenderhoist::relay {

void announced_limit::on_answer(const target_notice& notice, time_point sent_at,
                                time_point now) noexcept {
    if (notice.has_malformed_rate) {
        return; // neither names a limit nor lifts one
    }
    if (notice.rate_limit) {
        per_second_ = notice.rate_limit;
        named_at_ = now;
        has_answered_ = true;
        return;
    }
    if (sent_at >= named_at_) {
        per_second_.reset();
        has_answered_ = true;
    }
}

void announced_limit::on_hint(double per_second) noexcept {
    if (!has_answered_) {
        per_second_ = std::min(per_second, per_second_.value_or(per_second));
    }
}

} // namespace lavenderhoist::relay
