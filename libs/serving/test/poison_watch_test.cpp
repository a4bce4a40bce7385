#include "lavenderhoist/serving/poison_watch.hpp"

#include <gtest/gtest.h>

#include <array>

using namespace lavenderhoist;
using namespace lavenderhoist::node;

namespace {

constexpr time_point start{std::chrono::hours(1)};
constexpr std::array<std::uint64_t, 2> both{1, 2};
constexpr std::array<std::uint64_t, 1> poison{1};

} // namespace

TEST(poison_watch, second_death_quarantines) {
    poison_watch watch;
    EXPECT_TRUE(watch.on_death(both, start).empty());
    EXPECT_FALSE(watch.is_quarantined(1, start));
    EXPECT_EQ(watch.on_death(poison, start).size(), 1U);
    EXPECT_TRUE(watch.is_quarantined(1, start));
    EXPECT_FALSE(watch.is_quarantined(2, start));
}

TEST(poison_watch, completing_elsewhere_clears) {
    poison_watch watch;
    watch.add_suspects(both, start);
    watch.on_completed(2);
    EXPECT_EQ(watch.on_death(both, start), std::vector<std::uint64_t>{1});
}

TEST(poison_watch, suspicion_and_quarantine_expire) {
    poison_watch watch;
    watch.add_suspects(poison, start);
    const auto later = start + poison_watch::suspicion_lifetime;
    EXPECT_TRUE(watch.on_death(poison, later).empty());
    watch.on_death(poison, later);
    EXPECT_FALSE(watch.is_quarantined(1, later + poison_watch::quarantine_lifetime));
}
