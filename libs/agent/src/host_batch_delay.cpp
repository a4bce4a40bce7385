#include "lavenderhoist/agent/internal/host_batch_delay.hpp"

#include <algorithm>

namespace lavenderhoist::agent::internal {
namespace {

/** A delay of this length is harmless for a host that leaves: its node rejects requests at once. */
constexpr duration min_batch_delay = std::chrono::milliseconds(500);

/** A target that joins must receive requests within four seconds; half of that is left for all
 * other delays. */
constexpr duration max_batch_delay = std::chrono::seconds(2);

/** Bound on the long polls for host records of all nodes per second while hosts change constantly:
 * 2% of the 2,000 read calls per second that the store of the smallest deployments allows. */
constexpr double max_polls_per_second = 40;

} // namespace

duration host_batch_delay(std::size_t hosts) noexcept {
    const std::chrono::duration<double> delay(static_cast<double>(hosts) / max_polls_per_second);
    return std::clamp(std::chrono::duration_cast<duration>(delay), min_batch_delay,
                      max_batch_delay);
}

} // namespace lavenderhoist::agent::internal
