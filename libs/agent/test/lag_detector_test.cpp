#include "lavenderhoist/agent/internal/lag_detector.hpp"

#include <gtest/gtest.h>

namespace lavenderhoist::agent::internal {
namespace {

constexpr milliseconds max_lag{1'000};
constexpr time_point start{};

TEST(lag_detector, lag_is_tolerated_for_max_lag) {
    lag_detector<int> detector;
    EXPECT_FALSE(detector.on_comparison(1, 2, max_lag, start));
    EXPECT_FALSE(detector.on_comparison(1, 2, max_lag, start + max_lag));
    EXPECT_TRUE(detector.on_comparison(1, 2, max_lag, start + max_lag + milliseconds(1)));
}

TEST(lag_detector, a_version_that_advances_is_not_stalled_though_it_is_always_behind) {
    lag_detector<int> detector;
    for (int i = 0; i < 20; ++i) {
        EXPECT_FALSE(detector.on_comparison(i, i + 5, max_lag, start + i * milliseconds(900)));
    }
}

TEST(lag_detector, catching_up_ends_a_lag) {
    lag_detector<int> detector;
    EXPECT_FALSE(detector.on_comparison(1, 2, max_lag, start));
    EXPECT_FALSE(detector.on_comparison(2, 2, max_lag, start + milliseconds(900)));
    EXPECT_FALSE(detector.on_comparison(2, 3, max_lag, start + milliseconds(1'800)));
}

// A peer that is as far behind says nothing about the version that another one has.
TEST(lag_detector, a_peer_that_is_as_stale_does_not_end_a_lag) {
    lag_detector<int> detector;
    EXPECT_FALSE(detector.on_comparison(1, 2, max_lag, start));
    EXPECT_FALSE(detector.on_comparison(1, 1, max_lag, start + milliseconds(900)));
    EXPECT_TRUE(detector.on_comparison(1, 1, max_lag, start + milliseconds(1'001)));
}

} // namespace
} // namespace lavenderhoist::agent::internal
