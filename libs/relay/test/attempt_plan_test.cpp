#include "lavenderhoist/relay/attempt_plan.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace lavenderhoist::relay {
namespace {

constexpr duration plenty = std::chrono::seconds(1);

relay_answer failed(execution result, bool reached) {
    auto answer = make_failure(result, errc::peer_lost, step::stream, "peer");
    answer.reached_target = reached;
    return answer;
}

TEST(attempt_plan, an_unproven_request_that_must_not_be_repeated_is_given_up) {
    attempt_plan plan(3, false);
    plan.on_try();
    EXPECT_EQ(plan.on_answer(failed(execution::unknown, true), plenty), next_step::give_up);
    EXPECT_EQ(plan.proven(), execution::unknown);
}

TEST(attempt_plan, a_refused_request_is_placed_elsewhere) {
    attempt_plan plan(1, false);
    plan.on_try();
    EXPECT_EQ(plan.on_answer(failed(execution::not_run, false), plenty), next_step::place_again);
    EXPECT_EQ(plan.proven(), execution::not_run);
}

TEST(attempt_plan, a_try_under_way_proves_nothing) {
    attempt_plan plan(1, true);
    EXPECT_EQ(plan.proven(), execution::not_run);
    plan.on_try();
    EXPECT_EQ(plan.proven(), execution::unknown);
}

TEST(attempt_plan, without_time_there_is_no_other_try) {
    attempt_plan plan(3, true);
    plan.on_try();
    EXPECT_EQ(plan.on_answer(failed(execution::not_run, false), milliseconds(1)),
              next_step::give_up);
}

// The oracle: a list of what ran. Whatever the tries end with, a request that must not be repeated
// runs once at most, no more targets are reached than allowed, and "not run" is said only if true.
TEST(attempt_plan, holds_for_every_way_in_which_tries_end) {
    rc::check([] {
        const bool repeatable = *rc::gen::arbitrary<bool>();
        const int attempts = *rc::gen::inRange(1, 4);
        attempt_plan plan(attempts, repeatable);
        int ran = 0;
        int reached = 0;
        for (bool goes_on = true; goes_on;) {
            plan.on_try();
            const bool is_reached = *rc::gen::arbitrary<bool>();
            const bool has_run = is_reached && *rc::gen::arbitrary<bool>();
            reached += is_reached ? 1 : 0;
            ran += has_run ? 1 : 0;
            relay_answer answer = failed(execution::unknown, is_reached);
            const bool knows = *rc::gen::arbitrary<bool>();
            if (has_run && knows) {
                answer.result = execution::answered;
            } else if (!has_run && knows) {
                answer.result = execution::not_run;
            }
            const auto next = plan.on_answer(answer, plenty);
            goes_on = next == next_step::place_again || next == next_step::repeat;
            RC_ASSERT(next != next_step::place_again || !is_reached);
        }
        RC_ASSERT(reached <= attempts);
        RC_ASSERT(repeatable || ran <= 1);
        RC_ASSERT(plan.placements() <= attempt_plan::max_placements);
        if (plan.proven() == execution::not_run) {
            RC_ASSERT(ran == 0 || repeatable);
        }
    });
}

} // namespace
} // namespace lavenderhoist::relay
