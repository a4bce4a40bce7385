// The whole path over separate processes: caller, entry, the target's node, target, and the same
// again for a nested call of the target.

#include "fixture.hpp"

#include <gtest/gtest.h>

using namespace lavenderhoist;
using namespace lavenderhoist::system_test;

class system_path : public testing::Test {
protected:
    static void SetUpTestSuite() {
        shared = std::make_unique<harness::deployment>(binaries(), chain_of_two());
        ASSERT_TRUE(shared->start());
        ASSERT_TRUE(harness::wait_until(
            [] {
                return shared->has_ready_orders("permits", 2) &&
                       shared->has_ready_orders("barriers", 3);
            },
            std::chrono::seconds(15)));
    }
    static void TearDownTestSuite() { shared.reset(); }

    static std::unique_ptr<harness::deployment> shared;
};

std::unique_ptr<harness::deployment> system_path::shared;

TEST_F(system_path, read_goes_from_any_entry_to_a_target_and_back) {
    for (const auto& entry : shared->hosts()) {
        const auto result = send_request(entry, "GET", "/barriers/status", "hello");
        EXPECT_EQ(result.answer.status, 200);
        EXPECT_EQ(outcome_of(result), "completed");
        EXPECT_NE(result.answer.body.find("hello"), std::string::npos);
    }
}

TEST_F(system_path, order_passes_through_both_services_once) {
    const auto key = make_key();
    const auto result = send_request(shared->hosts().front(), "POST", "/permits/permits", "convoy",
                                     {{"idempotency-key", key}});
    EXPECT_EQ(result.answer.status, 200) << result.answer.body;
    EXPECT_EQ(outcome_of(result), "completed");
    EXPECT_EQ(executions_of(*shared, "permits", key), 1);
}

TEST_F(system_path, resend_of_a_key_gets_the_kept_answer) {
    const auto key = make_key();
    const net::headers fields{{"idempotency-key", key}, {"lh-caller", "village-post"}};
    std::string first;
    for (const auto& entry : shared->hosts()) {
        const auto result = send_request(entry, "POST", "/barriers/orders", "close", fields);
        ASSERT_EQ(result.answer.status, 200) << result.answer.body;
        first = first.empty() ? result.answer.body : first;
        EXPECT_EQ(result.answer.body, first);
    }
    EXPECT_EQ(executions_of(*shared, "barriers", key), 1);
}

TEST_F(system_path, key_of_another_request_or_caller_is_refused) {
    const auto key = make_key();
    const auto& entry = shared->hosts().front();
    send_request(entry, "POST", "/barriers/orders", "close",
                 {{"idempotency-key", key}, {"lh-caller", "one"}});
    const auto other_body = send_request(entry, "POST", "/barriers/orders", "open",
                                         {{"idempotency-key", key}, {"lh-caller", "one"}});
    EXPECT_EQ(other_body.answer.status, 422);
    const auto other_caller = send_request(entry, "POST", "/barriers/orders", "close",
                                           {{"idempotency-key", key}, {"lh-caller", "two"}});
    EXPECT_EQ(other_caller.answer.status, 422);
    EXPECT_EQ(other_caller.answer.body.find("close"), std::string::npos);
}

TEST_F(system_path, old_and_future_keys_do_not_run) {
    const auto& entry = shared->hosts().front();
    for (const auto shift : {std::chrono::hours(-1), std::chrono::hours(1)}) {
        const auto key = make_key(shift);
        const auto result =
            send_request(entry, "POST", "/barriers/orders", "x", {{"idempotency-key", key}});
        EXPECT_GE(result.answer.status, 400);
        EXPECT_EQ(executions_of(*shared, "barriers", key), 0);
    }
}

TEST_F(system_path, refusal_names_step_and_outcome) {
    const auto& entry = shared->hosts().front();
    const auto service = send_request(entry, "GET", "/nowhere/x");
    EXPECT_EQ(service.answer.status, 404);
    EXPECT_EQ(outcome_of(service), "not-run");
    EXPECT_NE(service.answer.body.find("\"step\":\"entry\""), std::string::npos);
    const auto key =
        send_request(entry, "POST", "/barriers/orders", "x", {{"idempotency-key", "17"}});
    EXPECT_EQ(key.answer.status, 400);
    EXPECT_EQ(outcome_of(key), "not-run");
    const auto deadline = send_request(entry, "GET", "/barriers/x", "", {{"lh-timeout-ms", "-5"}});
    EXPECT_EQ(deadline.answer.status, 400);
    EXPECT_EQ(outcome_of(deadline), "not-run");
}
