#include "lavenderhoist/metrics.hpp"

#include <boost/json.hpp>
#include <gtest/gtest.h>

using namespace lavenderhoist;
using namespace lavenderhoist::metrics;

TEST(latency_histogram, quantiles_are_within_a_bin) {
    latency_histogram histogram;
    for (int i = 1; i <= 1'000; ++i) {
        histogram.add(std::chrono::milliseconds(i));
    }
    EXPECT_NEAR(histogram.quantile_ms(0.5), 500, 60);
    EXPECT_NEAR(histogram.quantile_ms(0.99), 990, 110);
    EXPECT_EQ(histogram.count(), 1'000U);
    EXPECT_EQ(latency_histogram().quantile_ms(0.99), 0);
}

TEST(recorder, merges_threads_and_bounds_callers) {
    recorder one;
    recorder two;
    for (std::size_t i = 0; i < recorder::max_callers * 2; ++i) {
        one.observe("read", "caller-" + std::to_string(i), outcome::completed,
                    std::chrono::milliseconds(1));
    }
    two.observe("read", "caller-0", outcome::refused, std::chrono::milliseconds(1));
    two.count("retries", 3);
    one.merge(two);
    const auto shown = one.to_json();
    EXPECT_EQ(shown.at("callers").as_object().size(), recorder::max_callers + 1);
    EXPECT_EQ(shown.at("counters").at("retries").to_number<int>(), 3);
    EXPECT_EQ(shown.at("classes").at("read").at("outcomes").at("refused").to_number<int>(), 1);
}
