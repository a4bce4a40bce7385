// Compares the rate limiter with a list of all starts.

#include "lavenderhoist/admission/rate_limiter.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <vector>

namespace lavenderhoist::admission {
namespace {

constexpr time_point start{std::chrono::hours(1)};

double seconds(duration length) {
    return std::chrono::duration<double>(length).count();
}

/** The rate at which requests start that arrive every millisecond for ten seconds. */
double rate_of(rate_limiter& limiter) {
    constexpr int length_s = 10;
    int started = 0;
    for (int i = 0; i < length_s * 1'000; ++i) {
        const auto now = start + milliseconds(i);
        if (limiter.can_start(now)) {
            limiter.on_start(now);
            ++started;
        }
    }
    return static_cast<double>(started) / length_s;
}

} // namespace

// Any steps of time, and attempts at them: no time span has more starts than documented.
RC_GTEST_PROP(rate_limiter, no_time_span_has_more_starts_than_the_limit_allows, ()) {
    const double per_second = *rc::gen::inRange(1, 2'000) / 4.0;
    rate_limiter limiter;
    limiter.set(per_second, start);
    std::vector<time_point> starts;
    auto now = start;
    for (const int step : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 40))) {
        now += milliseconds(step);
        for (int i = 0; i < step; ++i) {
            if (limiter.can_start(now)) {
                limiter.on_start(now);
                starts.push_back(now);
            }
        }
    }
    const double rate = std::max(per_second, rate_limiter::min_per_second);
    for (std::size_t first = 0; first < starts.size(); ++first) {
        for (std::size_t last = first; last < starts.size(); ++last) {
            const auto span = seconds(starts[last] - starts[first] + rate_limiter::burst);
            RC_ASSERT(static_cast<double>(last - first + 1) <= rate * span + 1.001);
        }
    }
}

TEST(rate_limiter, uses_what_the_limit_allows) {
    for (const double per_second : {1.0, 7.5, 46.4, 300.0}) {
        rate_limiter limiter;
        limiter.set(per_second, start);
        EXPECT_NEAR(rate_of(limiter), per_second, per_second * 0.02 + 0.11) << per_second;
    }
}

TEST(rate_limiter, a_limit_of_nothing_lets_a_request_through_now_and_then) {
    rate_limiter limiter;
    limiter.set(0, start);
    EXPECT_NEAR(rate_of(limiter), rate_limiter::min_per_second, 0.1);
}

TEST(rate_limiter, a_limit_that_is_set_again_and_again_gives_no_credit) {
    rate_limiter limiter;
    int started = 0;
    for (int i = 0; i < 4'000; ++i) {
        const auto now = start + milliseconds(i);
        limiter.set(i % 2 == 0 ? 20.0 : 20.1, now);
        if (limiter.can_start(now)) {
            limiter.on_start(now);
            ++started;
        }
    }
    EXPECT_LE(started, 84);
}

TEST(rate_limiter, a_lower_limit_does_not_stop_the_target_for_long) {
    rate_limiter limiter;
    limiter.set(1'000, start);
    while (limiter.can_start(start)) {
        limiter.on_start(start);
    }
    limiter.set(2, start);
    EXPECT_TRUE(limiter.can_start(start + milliseconds(500)));
}

TEST(rate_limiter, without_a_limit_requests_start_at_once) {
    rate_limiter limiter;
    EXPECT_TRUE(limiter.can_start(start));
    limiter.set(0.5, start);
    limiter.on_start(start);
    limiter.set(std::nullopt, start);
    EXPECT_TRUE(limiter.can_start(start));
    EXPECT_EQ(limiter.per_second(), std::nullopt);
    EXPECT_EQ(limiter.wait_of(1'000, start), duration(0));
}

TEST(rate_limiter, tells_how_long_a_queue_takes) {
    rate_limiter limiter;
    limiter.set(10, start);
    EXPECT_EQ(limiter.wait_of(1, start), duration(0));
    const auto wait = limiter.wait_of(21, start);
    EXPECT_NEAR(seconds(wait), 1.9, 0.01); // the burst of one request is used
}

} // namespace lavenderhoist::admission
