#include "lavenderhoist/core/clock.hpp"

#include <gtest/gtest.h>

using namespace lavenderhoist;

TEST(runtime_clock, stands_still_while_paused_and_goes_on_from_there) {
    runtime_clock::pause();
    const auto before = runtime_clock::now();
    EXPECT_EQ(runtime_clock::now(), before);
    runtime_clock::advance(std::chrono::hours(1));
    EXPECT_EQ(runtime_clock::now() - before, std::chrono::hours(1));
    runtime_clock::resume();
    EXPECT_GE(runtime_clock::now() - before, std::chrono::hours(1));
    EXPECT_LT(runtime_clock::now() - before, std::chrono::hours(2));
}
