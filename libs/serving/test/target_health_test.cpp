#include "lavenderhoist/serving/target_health.hpp"

#include <gtest/gtest.h>

using namespace lavenderhoist;
using namespace lavenderhoist::node;

namespace {

constexpr time_point start{std::chrono::hours(1)};

/** Records failures until the target is unhealthy. \returns the time of that. */
time_point fail_until_unhealthy(target_health& health, time_point from) {
    auto now = from;
    while (health.is_healthy(now) && now < from + std::chrono::minutes(1)) {
        health.on_failed(now);
        now += std::chrono::milliseconds(100);
    }
    return now;
}

} // namespace

TEST(target_health, one_answer_among_failures_keeps_a_target_fit) {
    target_health health;
    for (int i = 0; i < 100; ++i) {
        const auto now = start + std::chrono::milliseconds(100) * i;
        health.on_failed(now);
        if (i % 4 == 0) {
            health.on_answered();
        }
        EXPECT_TRUE(health.is_healthy(now));
    }
}

TEST(target_health, burst_of_failures_is_not_enough) {
    target_health health;
    for (int i = 0; i < 100; ++i) {
        health.on_failed(start);
    }
    EXPECT_TRUE(health.is_healthy(start));
}

TEST(target_health, target_without_answers_is_unfit_and_the_pause_doubles) {
    target_health health;
    const auto first = fail_until_unhealthy(health, start);
    EXPECT_LE(first - start, std::chrono::milliseconds(1'200));
    EXPECT_FALSE(health.is_healthy(first + std::chrono::seconds(4)));
    EXPECT_TRUE(health.is_healthy(first + target_health::min_pause));
    const auto second = fail_until_unhealthy(health, first + target_health::min_pause);
    EXPECT_FALSE(health.is_healthy(second + std::chrono::seconds(9)));
    EXPECT_TRUE(health.is_healthy(second + target_health::min_pause * 2));
}
