#include "lavenderhoist/mesh/windowed_retry_budget.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <vector>

namespace lavenderhoist::mesh {
namespace {

constexpr windowed_retry_budget::limits bounds{0.1, 3, std::chrono::seconds(10)};

TEST(windowed_retry_budget, allows_the_extra_without_any_request) {
    windowed_retry_budget budget;
    const time_point now{std::chrono::hours(1)};
    EXPECT_TRUE(budget.try_take(now, bounds));
    EXPECT_TRUE(budget.try_take(now, bounds));
    EXPECT_TRUE(budget.try_take(now, bounds));
    EXPECT_FALSE(budget.try_take(now, bounds));
    EXPECT_TRUE(budget.try_take(now + std::chrono::seconds(12), bounds));
}

// In any window and for any arrival times, retries stay within the bound for the requests of that
// window and of the buckets that it covers in part.
TEST(windowed_retry_budget, keeps_to_the_bound_in_every_window) {
    const bool holds = rc::check([] {
        windowed_retry_budget budget;
        std::vector<time_point> requests;
        std::vector<time_point> retries;
        time_point now{std::chrono::hours(1)};
        for (int i = 0; i < *rc::gen::inRange(1, 300); ++i) {
            now += milliseconds(*rc::gen::inRange(0, 200));
            if (*rc::gen::inRange(0, 3) > 0) {
                budget.on_request(now, bounds);
                requests.push_back(now);
            } else if (budget.try_take(now, bounds)) {
                retries.push_back(now);
            }
            const auto since = [&now](const std::vector<time_point>& all, duration length) {
                return std::ranges::count_if(all,
                                             [&](time_point each) { return each > now - length; });
            };
            const auto covered = bounds.window + bounds.window / 5;
            RC_ASSERT(static_cast<double>(since(retries, bounds.window)) <=
                      bounds.ratio * static_cast<double>(since(requests, covered)) + bounds.extra);
        }
    });
    EXPECT_TRUE(holds);
}

} // namespace
} // namespace lavenderhoist::mesh
