#include "lavenderhoist/agent/internal/lag_detector.hpp"

#include <gtest/gtest.h>

namespace lavenderhoist::agent::internal {
namespace {

constexpr milliseconds patience{1'000};
constexpr time_point start{};

TEST(lag_detector, news_may_take_its_time) {
    lag_detector watch;
    EXPECT_FALSE(watch.on_comparison(1, 2, patience, start));
    EXPECT_FALSE(watch.on_comparison(1, 2, patience, start + patience));
    EXPECT_TRUE(watch.on_comparison(1, 2, patience, start + patience + milliseconds(1)));
}

TEST(lag_detector, a_reader_that_moves_has_missed_nothing_though_it_is_always_behind) {
    lag_detector watch;
    for (int i = 0; i < 20; ++i) {
        EXPECT_FALSE(watch.on_comparison(i, i + 5, patience, start + i * milliseconds(900)));
    }
}

TEST(lag_detector, having_been_level_ends_a_lag) {
    lag_detector watch;
    EXPECT_FALSE(watch.on_comparison(1, 2, patience, start));
    EXPECT_FALSE(watch.on_comparison(1, 1, patience, start + milliseconds(900)));
    EXPECT_FALSE(watch.on_comparison(1, 2, patience, start + milliseconds(1'800)));
}

} // namespace
} // namespace lavenderhoist::agent::internal
