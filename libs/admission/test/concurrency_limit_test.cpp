#include "lavenderhoist/admission/concurrency_limit.hpp"

#include <gtest/gtest.h>

namespace lavenderhoist::admission {
namespace {

constexpr int slots = 100;

} // namespace

// A target that sheds half of its calls at any load was given a few calls at once, after a moment
// of little load, and its callers were refused for want of room.
TEST(concurrency_limit, a_target_that_sheds_while_most_slots_are_free_keeps_its_limit) {
    concurrency_limit limit(slots);
    limit.assume_warm();
    for (int window = 0; window < 2; ++window) {
        limit.record_in_flight(3);
        limit.on_shed(3);
        limit.on_window();
    }
    EXPECT_EQ(limit.value(), slots);
}

TEST(concurrency_limit, a_full_target_that_sheds_is_given_less) {
    concurrency_limit limit(slots);
    limit.assume_warm();
    limit.record_in_flight(slots);
    limit.on_shed(slots);
    EXPECT_LT(limit.value(), slots);
}

} // namespace lavenderhoist::admission
