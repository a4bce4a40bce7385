#include "lavenderhoist/orders/takeover_delay.hpp"

#include <algorithm>

namespace lavenderhoist::orders {
namespace {

/** Bound on the drift between the clocks of two hosts, as a fraction (1/n) of a lease. */
constexpr int drift_divisor = 20;

} // namespace

milliseconds takeover_delay(const author_view& seen, const lease_settings& lengths) noexcept {
    if (seen.is_first) {
        return milliseconds(0);
    }
    auto wait = lengths.lease + lengths.lease / drift_divisor;
    if (!seen.is_member && !seen.has_ended_member) {
        wait += lengths.outage_limit;
    }
    return std::max(wait, seen.remaining_delay);
}

} // namespace lavenderhoist::orders
