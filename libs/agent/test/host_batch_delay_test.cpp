// A deployment in which hosts change all the time: the waits of all nodes together are bounded.

#include "lavenderhoist/agent/internal/host_batch_delay.hpp"

#include <gtest/gtest.h>

namespace lavenderhoist::agent::internal {
namespace {

double waits_per_second(std::size_t hosts) {
    return static_cast<double>(hosts) /
           std::chrono::duration<double>(host_batch_delay(hosts)).count();
}

TEST(host_batch_delay, small_deployments_hear_of_hosts_within_half_a_second) {
    EXPECT_EQ(host_batch_delay(3), milliseconds(500));
    EXPECT_EQ(host_batch_delay(17), milliseconds(500));
}

TEST(host_batch_delay, waits_of_larger_deployments_are_bounded) {
    for (const std::size_t hosts : {25U, 50U, 75U, 80U}) {
        EXPECT_LE(waits_per_second(hosts), 50.1) << hosts << " hosts";
    }
}

TEST(host_batch_delay, no_host_stays_unheard_of_for_longer_than_joining_targets_may_wait) {
    EXPECT_EQ(host_batch_delay(3'900), std::chrono::seconds(2));
}

} // namespace
} // namespace lavenderhoist::agent::internal
