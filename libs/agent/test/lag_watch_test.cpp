#include "lavenderhoist/agent/internal/lag_watch.hpp"

#include <gtest/gtest.h>

namespace lavenderhoist::agent::internal {
namespace {

constexpr milliseconds patience{1'000};
constexpr time_point start{};

TEST(lag_watch, news_may_take_its_time) {
    lag_watch watch;
    EXPECT_FALSE(watch.has_missed_news(1, 2, patience, start));
    EXPECT_FALSE(watch.has_missed_news(1, 2, patience, start + patience));
    EXPECT_TRUE(watch.has_missed_news(1, 2, patience, start + patience + milliseconds(1)));
}

TEST(lag_watch, a_reader_that_moves_has_missed_nothing_though_it_is_always_behind) {
    lag_watch watch;
    for (int i = 0; i < 20; ++i) {
        EXPECT_FALSE(watch.has_missed_news(i, i + 5, patience, start + i * milliseconds(900)));
    }
}

TEST(lag_watch, having_been_level_ends_a_lag) {
    lag_watch watch;
    EXPECT_FALSE(watch.has_missed_news(1, 2, patience, start));
    EXPECT_FALSE(watch.has_missed_news(1, 1, patience, start + milliseconds(900)));
    EXPECT_FALSE(watch.has_missed_news(1, 2, patience, start + milliseconds(1'800)));
}

} // namespace
} // namespace lavenderhoist::agent::internal
