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

TEST(attempt_plan, a_non_idempotent_request_that_may_have_run_is_not_retried) {
    attempt_plan plan(3, false);
    plan.on_attempt();
    EXPECT_EQ(plan.on_answer(failed(execution::unknown, true), plenty), next_step::fail);
    EXPECT_EQ(plan.proven_execution(), execution::unknown);
}

TEST(attempt_plan, a_refused_request_is_placed_elsewhere) {
    attempt_plan plan(1, false);
    plan.on_attempt();
    EXPECT_EQ(plan.on_answer(failed(execution::not_run, false), plenty), next_step::reroute);
    EXPECT_EQ(plan.proven_execution(), execution::not_run);
}

TEST(attempt_plan, execution_is_unknown_while_an_attempt_is_in_flight) {
    attempt_plan plan(1, true);
    EXPECT_EQ(plan.proven_execution(), execution::not_run);
    plan.on_attempt();
    EXPECT_EQ(plan.proven_execution(), execution::unknown);
}

TEST(attempt_plan, there_is_no_further_attempt_without_time_left) {
    attempt_plan plan(3, true);
    plan.on_attempt();
    EXPECT_EQ(plan.on_answer(failed(execution::not_run, false), milliseconds(1)), next_step::fail);
}

// Oracle: the test counts the runs. Whatever the results of the attempts, a request that is not
// idempotent runs at most once, no more targets are reached than allowed, and not_run is reported
// only if it is true.
TEST(attempt_plan, holds_for_all_results_of_attempts) {
    const bool holds = rc::check([] {
        const bool idempotent = *rc::gen::arbitrary<bool>();
        const int attempts = *rc::gen::inRange(1, 4);
        attempt_plan plan(attempts, idempotent);
        int ran = 0;
        int reached = 0;
        for (bool goes_on = true; goes_on;) {
            plan.on_attempt();
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
            goes_on = next == next_step::reroute || next == next_step::retry;
            RC_ASSERT(next != next_step::reroute || !is_reached);
        }
        RC_ASSERT(reached <= attempts);
        RC_ASSERT(idempotent || ran <= 1);
        RC_ASSERT(plan.placements() <= attempt_plan::max_placements);
        if (plan.proven_execution() == execution::not_run) {
            RC_ASSERT(ran == 0 || idempotent);
        }
    });
    EXPECT_TRUE(holds);
}

} // namespace
} // namespace lavenderhoist::relay
