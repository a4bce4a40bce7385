#include "lavenderhoist/logging/line_budget.hpp"

#include <gtest/gtest.h>

namespace lavenderhoist::logging {
namespace {

constexpr time_point start{std::chrono::hours(1)};

int lines_within(line_budget& budget, duration length) {
    int lines = 0;
    for (auto now = start; now < start + length; now += milliseconds(10)) {
        lines += budget.take(now) ? 1 : 0;
    }
    return lines;
}

TEST(line_budget, fewer_than_one_line_a_second_are_written_as_well) {
    line_budget budget(0.5);
    EXPECT_NEAR(lines_within(budget, std::chrono::seconds(20)), 10, 1);
}

TEST(line_budget, lines_are_bounded_and_the_rest_is_counted) {
    line_budget budget(10);
    const int lines = lines_within(budget, std::chrono::seconds(2));
    EXPECT_NEAR(lines, 30, 1); // a burst of ten, and ten in each second
    EXPECT_EQ(budget.take_suppressed(), 200U - static_cast<unsigned>(lines));
    EXPECT_EQ(budget.take_suppressed(), 0U);
}

} // namespace
} // namespace lavenderhoist::logging
