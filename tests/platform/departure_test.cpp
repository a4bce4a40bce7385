#include "world.hpp"

#include <gtest/gtest.h>

#include <csignal>
#include <functional>
#include <thread>

namespace lavenderhoist::platform_test {
namespace {

/** Requests of `through`'s callers that the target of `which` executes in a second. */
std::size_t executions_in_a_second(world& deployment, const host& through, const host& which) {
    const auto count = [&] {
        return deployment.run_on_stub_thread([&] { return which.target->executions().size(); });
    };
    const auto before = count();
    const auto until = runtime_clock::now() + std::chrono::seconds(1);
    while (runtime_clock::now() < until) {
        deployment.send_request(through, "GET", "/back/x", deployment.make_id());
    }
    return count() - before;
}

/** Two targets of one service. */
class platform_departure : public testing::Test {
protected:
    void SetUp() override {
        deployment.add_host("back");
        deployment.add_host("back");
        deployment.publish({{"/back/", "back"}});
        ASSERT_TRUE(deployment.wait_until_ready());
    }

    world deployment;
};

void set_store_status(world& deployment, int status) {
    deployment.run_on_stub_thread([&] { deployment.store().injected_faults().status = status; });
}

// review/2: a leave that only the process knew was forgotten with it, and a delayed heartbeat made
// the target ready for good.
TEST_F(platform_departure, a_leave_acknowledged_without_the_store_binds_a_restarted_node) {
    auto& leaving = deployment.at(1);
    set_store_status(deployment, 503);
    EXPECT_EQ(deployment.await([&] { return leaving.target->sign_off(); }), 200);
    leaving.node->kill();
    deployment.start_node(leaving);
    ASSERT_TRUE(wait_until([&] { return deployment.ready_status(leaving) == 200; }));
    // A heartbeat that was in flight when the target signed off.
    deployment.await([&] { return leaving.target->send_heartbeat(); });
    EXPECT_EQ(executions_in_a_second(deployment, deployment.at(0), leaving), 0);
    set_store_status(deployment, 0);
    EXPECT_EQ(executions_in_a_second(deployment, deployment.at(0), leaving), 0);
    EXPECT_EQ(executions_in_a_second(deployment, leaving, leaving), 0);
}

// The same for a departure that an answer told.
TEST_F(platform_departure, a_departure_told_without_the_store_binds_a_restarted_node) {
    auto& leaving = deployment.at(1);
    set_store_status(deployment, 503);
    deployment.run_on_stub_thread([&] {
        leaving.target->stop_heartbeats();
        leaving.target->injected_faults().says_leaving = true;
    });
    EXPECT_TRUE(
        wait_until([&] { return executions_in_a_second(deployment, leaving, leaving) == 0; }));
    leaving.node->kill();
    deployment.start_node(leaving);
    ASSERT_TRUE(wait_until([&] { return deployment.ready_status(leaving) == 200; }));
    deployment.await([&] { return leaving.target->send_heartbeat(); });
    EXPECT_EQ(executions_in_a_second(deployment, leaving, leaving), 0);
}

// The same for a leave that a store restored from an older copy has lost.
TEST_F(platform_departure, a_leave_that_a_restored_store_has_lost_binds_a_restarted_node) {
    auto& leaving = deployment.at(1);
    deployment.run_on_stub_thread([&] { deployment.store().take_copy(); });
    EXPECT_EQ(deployment.await([&] { return leaving.target->sign_off(); }), 200);
    leaving.node->kill();
    deployment.run_on_stub_thread([&] { deployment.store().restore_copy(); });
    deployment.start_node(leaving);
    ASSERT_TRUE(wait_until([&] { return deployment.ready_status(leaving) == 200; }));
    deployment.await([&] { return leaving.target->send_heartbeat(); });
    EXPECT_EQ(executions_in_a_second(deployment, deployment.at(0), leaving), 0);
    EXPECT_EQ(executions_in_a_second(deployment, leaving, leaving), 0);
}

// A target that fails its health check is asked again: a restart of its node does not end its work.
TEST_F(platform_departure, a_target_serves_again_after_a_restart_of_its_node_once_it_is_healthy) {
    auto& restarted = deployment.at(0);
    deployment.run_on_stub_thread([&] { restarted.to_target->close_listener(); });
    restarted.node->kill();
    deployment.start_node(restarted);
    ASSERT_TRUE(wait_until([&] { return deployment.ready_status(restarted) == 200; }));
    EXPECT_EQ(executions_in_a_second(deployment, restarted, restarted), 0);
    deployment.run_on_stub_thread([&] { restarted.to_target->reopen_listener(); });
    EXPECT_TRUE(
        wait_until([&] { return executions_in_a_second(deployment, restarted, restarted) > 0; }));
}

/** Sends heartbeats until one is acknowledged. \returns whether one was within five seconds. */
bool wait_for_acknowledgement(world& deployment, const host& which) {
    return wait_until(
        [&] { return deployment.await([&] { return which.target->send_heartbeat(); }) == 200; });
}

// review/4: a target whose clock had jumped started with an earlier start time; its leave was
// acknowledged and ignored.
TEST_F(platform_departure, a_leave_of_a_start_with_an_earlier_start_time_is_not_ignored) {
    auto& leaving = deployment.at(0);
    deployment.run_on_stub_thread([&] {
        leaving.target->restart("target-1", -std::chrono::seconds(60));
        leaving.target->leave();
    });
    EXPECT_TRUE(wait_for_acknowledgement(deployment, leaving));
    EXPECT_EQ(executions_in_a_second(deployment, deployment.at(1), leaving), 0);
    EXPECT_EQ(executions_in_a_second(deployment, leaving, leaving), 0);
}

// The same for a target that signs off without announcing its departure.
TEST_F(platform_departure, a_sign_off_of_a_start_with_an_earlier_start_time_is_not_ignored) {
    auto& leaving = deployment.at(0);
    deployment.run_on_stub_thread(
        [&] { leaving.target->restart("target-1", -std::chrono::seconds(60)); });
    EXPECT_TRUE(wait_until(
        [&] { return deployment.await([&] { return leaving.target->sign_off(); }) == 200; }));
    EXPECT_EQ(executions_in_a_second(deployment, deployment.at(1), leaving), 0);
    EXPECT_EQ(executions_in_a_second(deployment, leaving, leaving), 0);
}

} // namespace
} // namespace lavenderhoist::platform_test
