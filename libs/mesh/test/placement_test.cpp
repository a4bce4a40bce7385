#include "lavenderhoist/mesh/placement.hpp"

#include <gtest/gtest.h>

#include <vector>

namespace lavenderhoist::mesh {
namespace {

std::optional<std::size_t> choose(const std::vector<candidate>& candidates, int importance = 1) {
    placement chooser(1);
    return chooser.choose(candidates, importance);
}

TEST(placement, prefers_the_nearest_target_with_headroom) {
    EXPECT_EQ(choose({{distance::remote_data_centre, 0.0, 0},
                      {distance::local_data_centre, 0.5, 0},
                      {distance::local_host, 0.6, 0}}),
              2U);
    EXPECT_EQ(choose({{distance::remote_data_centre, 0.0, 0},
                      {distance::local_data_centre, 0.5, 0},
                      {distance::local_host, 0.9, 0}}),
              1U);
}

TEST(placement, leaves_the_data_centre_only_for_a_clearly_emptier_target) {
    EXPECT_EQ(
        choose({{distance::remote_data_centre, 0.8, 0}, {distance::local_data_centre, 0.95, 0}}),
        1U);
    EXPECT_EQ(
        choose({{distance::remote_data_centre, 0.3, 0}, {distance::local_data_centre, 0.95, 0}}),
        0U);
}

// Load pattern: all targets of a service have equal queues, and some are three times as slow, so
// that requests wait three times as long there and expire.
TEST(placement, of_two_equal_queues_the_faster_one_is_shorter) {
    constexpr milliseconds fast{30};
    constexpr milliseconds slow{90};
    EXPECT_EQ(choose({{distance::remote_data_centre, 2.8, 0, fast},
                      {distance::local_data_centre, 2.8, 0, slow}}),
              0U);
    EXPECT_EQ(choose({{distance::local_data_centre, 2.8, 0, slow},
                      {distance::local_data_centre, 3.5, 0, fast}}),
              1U);
    // Below its limit, a target serves a request at once whatever its speed.
    EXPECT_EQ(choose({{distance::local_data_centre, 0.9, 0, slow},
                      {distance::local_data_centre, 0.95, 0, fast}}),
              0U);
}

TEST(placement, unknown_service_times_leave_queues_as_they_are) {
    EXPECT_EQ(choose({{distance::local_data_centre, 1.5, 0, milliseconds(0)},
                      {distance::local_data_centre, 1.6, 0, milliseconds(0)}}),
              0U);
}

constexpr milliseconds fast_run{60};
constexpr milliseconds slow_run{180};

candidate with_run_time(distance where, double load, duration run_time) {
    return {where, load, 0, run_time, run_time};
}

// Load pattern: targets differ in speed by a factor of three and none is full.
TEST(placement, of_two_unloaded_targets_the_faster_one_is_chosen) {
    EXPECT_EQ(choose({with_run_time(distance::local_data_centre, 0.1, slow_run),
                      with_run_time(distance::local_data_centre, 0.6, fast_run)}),
              1U);
    // A queue at the fast target takes longer than the work at the slow one.
    EXPECT_EQ(choose({with_run_time(distance::local_data_centre, 0.1, slow_run),
                      with_run_time(distance::local_data_centre, 2.5, fast_run)}),
              0U);
}

// Run times vary between requests: equal targets must be served by load as without them.
TEST(placement, run_times_that_hardly_differ_do_not_outweigh_the_load) {
    EXPECT_EQ(choose({with_run_time(distance::local_data_centre, 0.5, milliseconds(95)),
                      with_run_time(distance::local_data_centre, 0.3, milliseconds(105))}),
              1U);
}

// A target in another data centre costs traffic: speed alone does not justify it.
TEST(placement, an_unloaded_data_centre_is_not_left_for_a_faster_target) {
    EXPECT_EQ(choose({with_run_time(distance::remote_data_centre, 0.0, fast_run),
                      with_run_time(distance::local_data_centre, 0.7, slow_run)}),
              1U);
    EXPECT_EQ(choose({with_run_time(distance::remote_data_centre, 0.7, fast_run),
                      with_run_time(distance::local_data_centre, 1.0, fast_run)}),
              1U);
    EXPECT_EQ(choose({with_run_time(distance::remote_data_centre, 0.7, fast_run),
                      with_run_time(distance::local_data_centre, 1.3, fast_run)}),
              0U);
}

// A target that has not been heard of for a while would otherwise never be tried again.
TEST(placement, a_target_of_unknown_speed_is_taken_for_an_average_one) {
    EXPECT_EQ(choose({with_run_time(distance::local_data_centre, 0.2, slow_run),
                      with_run_time(distance::local_data_centre, 1.5, fast_run),
                      with_run_time(distance::local_data_centre, 0.2, duration(0))}),
              2U);
}

TEST(placement, skips_targets_that_refuse_the_importance) {
    EXPECT_EQ(choose({{distance::remote_data_centre, 0.9, 0}, {distance::local_host, 0.0, 5}}), 0U);
    EXPECT_EQ(choose({{distance::local_host, 0.0, 5}}), std::nullopt);
    EXPECT_EQ(choose({}), std::nullopt);
}

} // namespace
} // namespace lavenderhoist::mesh
