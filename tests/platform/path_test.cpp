#include "world.hpp"

#include <gtest/gtest.h>

namespace lavenderhoist::platform_test {
namespace {

TEST(platform_path, a_request_passes_through_two_nodes_and_its_call_through_two_more) {
    world deployment;
    deployment.add_host("front", "a", {{"/front/", world::host_name, "/deep/x"}});
    deployment.add_host("deep");
    deployment.publish({{"/front/", "front"}, {"/deep/", "deep"}});
    ASSERT_TRUE(deployment.wait_until_ready());

    const auto id = deployment.make_id();
    const auto result = deployment.send_request(deployment.at(1), "GET", "/front/y?q=1", id, 1'500);
    ASSERT_FALSE(result.code);
    EXPECT_EQ(result.answer.status, 200);
    EXPECT_EQ(result.answer.body, "target-1 ran /front/y?q=1");
    EXPECT_EQ(net::find_header(result.answer.fields, "x-response-signature"), "signed-by-target-1");
    EXPECT_EQ(net::find_header(result.answer.fields, "x-request-id"), id);
    EXPECT_EQ(deployment.executions(id), 1);
    EXPECT_EQ(deployment.executions(id + ".1"), 1);
    deployment.run_on_stub_thread([&] {
        const auto& ran = deployment.at(0).target->executions().back();
        EXPECT_EQ(ran.caller, "deep"); // the service of the host that received the request
        EXPECT_LE(ran.time_left_ms, 1'500);
        EXPECT_GT(ran.time_left_ms, 1'000);
        EXPECT_EQ(deployment.at(1).target->executions().back().caller, "front");
    });
}

TEST(platform_path, what_no_route_allows_is_not_found_and_reaches_nobody) {
    world deployment;
    deployment.add_host("front");
    deployment.publish({{"/front/", "front"}});
    ASSERT_TRUE(deployment.wait_until_ready());
    const auto id = deployment.make_id();
    EXPECT_EQ(deployment.send_request(deployment.at(0), "GET", "/other/x", id).answer.status, 404);
    EXPECT_EQ(deployment.executions(id), 0);
}

TEST(platform_path, without_a_configuration_callers_are_told_when_to_come_back) {
    world deployment;
    auto& only = deployment.add_host("front");
    ASSERT_TRUE(wait_until([&] { return deployment.ready_status(only) != 0; }));
    const auto result = deployment.send_request(only, "GET", "/front/x", deployment.make_id());
    EXPECT_EQ(result.answer.status, 503);
    EXPECT_FALSE(net::find_header(result.answer.fields, "retry-after").empty());
    EXPECT_EQ(deployment.ready_status(only), 503);
}

TEST(platform_path, a_shedding_target_is_replaced_by_another_one) {
    world deployment;
    deployment.add_host("front");
    deployment.add_host("front");
    deployment.publish({{"/front/", "front", false}});
    ASSERT_TRUE(deployment.wait_until_ready());
    deployment.run_on_stub_thread([&] { deployment.at(0).target->injected_faults().sheds = true; });
    const auto id = deployment.make_id();
    EXPECT_EQ(deployment.send_request(deployment.at(0), "POST", "/front/x", id).answer.status, 200);
    EXPECT_EQ(deployment.executions(id), 1);
}

TEST(platform_path, a_failure_of_one_target_is_replaced_if_the_request_may_be_repeated) {
    world deployment;
    deployment.add_host("front");
    deployment.add_host("front");
    deployment.publish({{"/read/", "front", true}, {"/order/", "front", false}});
    ASSERT_TRUE(deployment.wait_until_ready());
    // Fills the retry budget, a share of the requests, until it permits one retry.
    for (int i = 0; i < 250; ++i) {
        deployment.send_request(deployment.at(0), "GET", "/read/x", deployment.make_id());
    }
    deployment.run_on_stub_thread([&] { deployment.at(0).target->injected_faults().status = 500; });
    const auto read = deployment.make_id();
    EXPECT_EQ(deployment.send_request(deployment.at(0), "GET", "/read/x", read).answer.status, 200);
    EXPECT_EQ(deployment.executions(read), 2);
    const auto order = deployment.make_id();
    EXPECT_EQ(deployment.send_request(deployment.at(0), "POST", "/order/x", order).answer.status,
              500);
    EXPECT_EQ(deployment.executions(order), 1);
    // If the second target fails as well, the caller gets the target's answer, not one of the node.
    deployment.run_on_stub_thread([&] { deployment.at(1).target->injected_faults().status = 500; });
    const auto failed =
        deployment.send_request(deployment.at(0), "GET", "/read/x", deployment.make_id());
    EXPECT_EQ(failed.answer.status, 500);
    EXPECT_FALSE(net::find_header(failed.answer.fields, "x-response-signature").empty());
}

// The load pattern: every request fails because its nested call fails, so that no retry can
// succeed. The retry budget keeps retries to a small share of the requests.
TEST(platform_path, failures_of_a_common_cause_are_hardly_repeated) {
    world deployment;
    deployment.add_host("front", "a", {{"/read/", world::host_name, "/nowhere/x"}});
    deployment.add_host("front", "a", {{"/read/", world::host_name, "/nowhere/x"}});
    deployment.publish({{"/front/", "front", true}, {"/read/", "front", true}});
    ASSERT_TRUE(wait_until([&] {
        return deployment.metric(deployment.at(0), "hosts_known") == 2 &&
               deployment.ready_status(deployment.at(0)) == 200;
    }));
    int retries = 0;
    for (int i = 0; i < 300; ++i) {
        const auto id = deployment.make_id();
        EXPECT_EQ(deployment.send_request(deployment.at(0), "GET", "/read/x", id).answer.status,
                  500);
        retries += deployment.executions(id) - 1;
    }
    EXPECT_LE(retries, 3);
}

TEST(platform_path, a_refusal_says_not_run_and_is_true) {
    world deployment;
    deployment.add_host("front");
    deployment.publish({{"/front/", "front", false}});
    ASSERT_TRUE(deployment.wait_until_ready());
    deployment.run_on_stub_thread([&] { deployment.at(0).target->injected_faults().sheds = true; });
    const auto id = deployment.make_id();
    const auto result = deployment.send_request(deployment.at(0), "POST", "/front/x", id);
    EXPECT_EQ(result.answer.status, 503);
    EXPECT_FALSE(net::find_header(result.answer.fields, "retry-after").empty());
    EXPECT_EQ(deployment.executions(id), 0);
}

TEST(platform_path, a_request_past_its_time_is_answered_without_a_promise) {
    world deployment;
    deployment.add_host("front");
    deployment.publish({{"/front/", "front", false}});
    ASSERT_TRUE(deployment.wait_until_ready());
    deployment.run_on_stub_thread([&] { deployment.at(0).target->injected_faults().hangs = true; });
    const auto id = deployment.make_id();
    const auto began = runtime_clock::now();
    const auto result = deployment.send_request(deployment.at(0), "POST", "/front/x", id, 400);
    EXPECT_EQ(result.answer.status, 504);
    EXPECT_LT(runtime_clock::now() - began, milliseconds(700));
    EXPECT_EQ(deployment.executions(id), 1);
}

TEST(platform_path, requests_whose_callers_go_leave_the_connections_open) {
    world deployment;
    deployment.add_host("front", "a", {}, milliseconds(20));
    deployment.publish({{"/front/", "front", true}});
    ASSERT_TRUE(deployment.wait_until_ready());
    const auto before = deployment.metric(deployment.at(0), "target_connections_opened");
    for (int i = 0; i < 20; ++i) {
        deployment.send_and_disconnect(deployment.at(0), "/front/x", milliseconds(10));
    }
    EXPECT_LE(deployment.metric(deployment.at(0), "target_connections_opened") - before, 3);
    EXPECT_TRUE(wait_until([&] { return deployment.metric(deployment.at(0), "at_target") == 0; }));
}

TEST(platform_path, a_killed_node_never_makes_an_order_run_twice) {
    world deployment;
    deployment.add_host("front");
    deployment.add_host("back");
    deployment.add_host("back");
    deployment.publish({{"/back/", "back", false}});
    ASSERT_TRUE(deployment.wait_until_ready());
    deployment.run_on_stub_thread([&] {
        deployment.at(1).target->injected_faults().hangs = true;
        deployment.at(2).target->injected_faults().hangs = true;
    });
    const auto id = deployment.make_id();
    std::thread killer([&] {
        EXPECT_TRUE(wait_until([&] { return deployment.executions(id) == 1; }));
        deployment.at(1).node->kill();
        deployment.at(2).node->kill();
    });
    const auto result = deployment.send_request(deployment.at(0), "POST", "/back/x", id);
    killer.join();
    EXPECT_EQ(result.answer.status, 502);
    EXPECT_EQ(deployment.executions(id), 1);
}

} // namespace
} // namespace lavenderhoist::platform_test
