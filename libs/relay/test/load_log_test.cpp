#include "lavenderhoist/relay/load_log.hpp"
#include "lavenderhoist/relay/outcome_log.hpp"

#include <gtest/gtest.h>

namespace lavenderhoist::relay {
namespace {

admission::window_stats busy_window(int waiting) {
    admission::window_stats window{};
    window.offered = 12;
    window.finished = 9;
    window.refused = 3;
    window.limit = 50;
    window.in_flight = 40;
    window.waiting = waiting;
    window.level = 700 + waiting;
    return window;
}

TEST(load_log, writes_one_line_a_second_with_the_sums_of_its_windows) {
    load_log log;
    for (int i = 0; i < 9; ++i) {
        EXPECT_FALSE(log.add(busy_window(i)));
    }
    const auto line = log.add(busy_window(9));
    ASSERT_TRUE(line);
    EXPECT_EQ(line->at("offered").to_number<int>(), 120);
    EXPECT_EQ(line->at("finished").to_number<int>(), 90);
    EXPECT_EQ(line->at("refused").to_number<int>(), 30);
    EXPECT_EQ(line->at("mean_at_work").to_number<int>(), 40);
    EXPECT_EQ(line->at("most_waiting").to_number<int>(), 9);
    EXPECT_EQ(line->at("lowest_level").to_number<int>(), 700);
    EXPECT_EQ(line->at("highest_level").to_number<int>(), 709);
    EXPECT_FALSE(log.add(busy_window(0)));
}

TEST(load_log, logs_nothing_without_requests) {
    load_log log;
    for (int i = 0; i < 50; ++i) {
        EXPECT_FALSE(log.add(admission::window_stats{}));
    }
}

TEST(outcome_log, counts_each_route_and_cause_once) {
    outcome_log log;
    EXPECT_TRUE(log.take().empty());
    log.on_answered("reads", false);
    log.on_answered("reads", true);
    log.on_unanswered("reads", errc::refused_early, true);
    log.on_unanswered("orders", errc::deadline_passed, false);
    const auto lines = log.take();
    ASSERT_EQ(lines.size(), 2U);
    EXPECT_EQ(lines.at(0).at("unknown").to_number<int>(), 1);
    EXPECT_EQ(lines.at(1).at("answered").to_number<int>(), 1);
    EXPECT_EQ(lines.at(1).at("failed").to_number<int>(), 1);
    EXPECT_EQ(lines.at(1).at("not_run").at("refused-early").to_number<int>(), 1);
    EXPECT_TRUE(log.take().empty());
}

} // namespace
} // namespace lavenderhoist::relay
