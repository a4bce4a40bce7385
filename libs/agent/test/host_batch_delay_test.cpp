// While hosts change constantly, the long polls of all nodes per second stay within a bound.

#include "lavenderhoist/agent/internal/host_batch_delay.hpp"

#include <gtest/gtest.h>

namespace lavenderhoist::agent::internal {
namespace {

double polls_per_second(std::size_t hosts) {
    return static_cast<double>(hosts) /
           std::chrono::duration<double>(host_batch_delay(hosts)).count();
}

TEST(host_batch_delay, small_deployments_receive_host_records_within_half_a_second) {
    EXPECT_EQ(host_batch_delay(3), milliseconds(500));
    EXPECT_EQ(host_batch_delay(17), milliseconds(500));
}

TEST(host_batch_delay, long_polls_of_larger_deployments_are_bounded) {
    for (const std::size_t hosts : {25U, 50U, 75U, 80U}) {
        EXPECT_LE(polls_per_second(hosts), 50.1) << hosts << " hosts";
    }
}

TEST(host_batch_delay, delay_is_bounded_by_the_time_joining_targets_may_wait) {
    EXPECT_EQ(host_batch_delay(3'900), std::chrono::seconds(2));
}

} // namespace
} // namespace lavenderhoist::agent::internal
