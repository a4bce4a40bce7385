// A graceful shutdown aborts no request, and the stored answers of orders survive the hand-over.

#include "fixture.hpp"

#include <gtest/gtest.h>

#include <csignal>
#include <thread>

using namespace lavenderhoist;
using namespace lavenderhoist::system_test;

class system_drain : public testing::Test {
protected:
    void SetUp() override {
        deployment = std::make_unique<harness::deployment>(binaries(), chain_of_two());
        ASSERT_TRUE(deployment->start());
        ASSERT_TRUE(harness::wait_until([&] { return deployment->has_ready_orders("barriers", 3); },
                                        std::chrono::seconds(20)));
    }

    std::unique_ptr<harness::deployment> deployment;
};

TEST_F(system_drain, node_finishes_its_work_hands_over_and_exits_with_0) {
    const auto& entry = deployment->hosts().front();
    std::vector<std::string> keys;
    for (int i = 0; i < 30; ++i) {
        keys.push_back(make_key());
        const auto result = send_request(entry, "POST", "/barriers/orders", "close",
                                         {{"idempotency-key", keys.back()}});
        ASSERT_EQ(outcome_of(result), "completed") << result.answer.body;
    }
    auto& leaving = *deployment->hosts_of("barriers").front();
    leaving.node->send(SIGTERM);
    int not_completed = 0;
    int completed = 0;
    while (leaving.node->is_running()) {
        const auto result = send_request(entry, "GET", "/barriers/status");
        not_completed += outcome_of(result) == "completed" ? 0 : 1;
        completed += outcome_of(result) == "completed" ? 1 : 0;
    }
    EXPECT_EQ(leaving.node->wait(std::chrono::seconds(1)), 0);
    EXPECT_EQ(not_completed, 0) << "requests not completed, " << completed << " completed";
    // The new owners have the records of the old one: a resend gets the stored answer and does not
    // run again.
    for (const auto& key : keys) {
        const auto result =
            send_request(entry, "POST", "/barriers/orders", "close", {{"idempotency-key", key}});
        EXPECT_EQ(outcome_of(result), "completed") << result.answer.body;
        EXPECT_EQ(executions_of(*deployment, "barriers", key), 1);
    }
}

TEST_F(system_drain, leaving_target_gets_no_new_work_after_two_seconds) {
    auto& leaving = *deployment->hosts_of("barriers").front();
    const auto executions = [&] {
        const auto status = deployment->target_get(leaving, "/_stub/status");
        return status.is_object() ? status.at("executions").to_number<int>() : -1;
    };
    leaving.stub->send(SIGTERM); // the target announces that it leaves
    harness::pause_for(std::chrono::seconds(2));
    const int before = executions();
    for (int i = 0; i < 100; ++i) {
        const auto result = send_request(deployment->hosts().front(), "GET", "/barriers/status");
        EXPECT_EQ(outcome_of(result), "completed");
    }
    const int after = executions();
    EXPECT_TRUE(after == before || after == -1);
    EXPECT_EQ(leaving.stub->wait(std::chrono::seconds(5)), 0);
}
