#include "lavenderhoist/agent/internal/host_batch_delay.hpp"

#include <algorithm>

namespace lavenderhoist::agent::internal {
namespace {

/** Records of a host that leaves may take so long: its own node refuses work at once. */
constexpr duration shortest_gather = std::chrono::milliseconds(500);

/** A target that joins must get work within four seconds; half of that is left for the rest. */
constexpr duration longest_gather = std::chrono::seconds(2);

/** Waits for host records of all nodes together, while hosts change all the time; 2% of the 2,000
 * reading calls a second that the store of the smallest deployments allows. */
constexpr double waits_per_second = 40;

} // namespace

duration host_batch_delay(std::size_t hosts) noexcept {
    const std::chrono::duration<double> even(static_cast<double>(hosts) / waits_per_second);
    return std::clamp(std::chrono::duration_cast<duration>(even), shortest_gather, longest_gather);
}

} // namespace lavenderhoist::agent::internal
