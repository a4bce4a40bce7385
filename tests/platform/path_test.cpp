#include "world.hpp"

#include <gtest/gtest.h>

namespace lavenderhoist::platform_test {
namespace {

TEST(platform_path, a_request_passes_through_two_nodes_and_its_call_through_two_more) {
    world here;
    here.add_host("front", "a", {{"/front/", world::host_name, "/deep/x"}});
    here.add_host("deep");
    here.publish({{"/front/", "front"}, {"/deep/", "deep"}});
    ASSERT_TRUE(here.settle());

    const auto id = here.make_id();
    const auto result = here.ask(here.at(1), "GET", "/front/y?q=1", id, 1'500);
    ASSERT_FALSE(result.code);
    EXPECT_EQ(result.answer.status, 200);
    EXPECT_EQ(result.answer.body, "target-1 ran /front/y?q=1");
    EXPECT_EQ(net::find_header(result.answer.fields, "x-response-signature"), "signed-by-target-1");
    EXPECT_EQ(net::find_header(result.answer.fields, "x-request-id"), id);
    EXPECT_EQ(here.executions(id), 1);
    EXPECT_EQ(here.executions(id + ".1"), 1);
    here.run_here([&] {
        const auto& ran = here.at(0).target->executions().back();
        EXPECT_EQ(ran.caller, "deep"); // the service on whose host the request began
        EXPECT_LE(ran.time_left_ms, 1'500);
        EXPECT_GT(ran.time_left_ms, 1'000);
        EXPECT_EQ(here.at(1).target->executions().back().caller, "front");
    });
}

TEST(platform_path, what_no_route_allows_is_not_found_and_reaches_nobody) {
    world here;
    here.add_host("front");
    here.publish({{"/front/", "front"}});
    ASSERT_TRUE(here.settle());
    const auto id = here.make_id();
    EXPECT_EQ(here.ask(here.at(0), "GET", "/other/x", id).answer.status, 404);
    EXPECT_EQ(here.executions(id), 0);
}

TEST(platform_path, without_a_configuration_callers_are_told_when_to_come_back) {
    world here;
    auto& only = here.add_host("front");
    ASSERT_TRUE(wait_until([&] { return here.ready_status(only) != 0; }));
    const auto result = here.ask(only, "GET", "/front/x", here.make_id());
    EXPECT_EQ(result.answer.status, 503);
    EXPECT_FALSE(net::find_header(result.answer.fields, "retry-after").empty());
    EXPECT_EQ(here.ready_status(only), 503);
}

TEST(platform_path, a_shedding_target_is_replaced_by_another_one) {
    world here;
    here.add_host("front");
    here.add_host("front");
    here.publish({{"/front/", "front", false}});
    ASSERT_TRUE(here.settle());
    here.run_here([&] { here.at(0).target->injected_faults().sheds = true; });
    const auto id = here.make_id();
    EXPECT_EQ(here.ask(here.at(0), "POST", "/front/x", id).answer.status, 200);
    EXPECT_EQ(here.executions(id), 1);
}

TEST(platform_path, a_failure_of_one_target_is_replaced_if_the_request_may_be_repeated) {
    world here;
    here.add_host("front");
    here.add_host("front");
    here.publish({{"/read/", "front", true}, {"/order/", "front", false}});
    ASSERT_TRUE(here.settle());
    // The share of requests that may be repeated for this must hold one first.
    for (int i = 0; i < 250; ++i) {
        here.ask(here.at(0), "GET", "/read/x", here.make_id());
    }
    here.run_here([&] { here.at(0).target->injected_faults().status = 500; });
    const auto read = here.make_id();
    EXPECT_EQ(here.ask(here.at(0), "GET", "/read/x", read).answer.status, 200);
    EXPECT_EQ(here.executions(read), 2);
    const auto order = here.make_id();
    EXPECT_EQ(here.ask(here.at(0), "POST", "/order/x", order).answer.status, 500);
    EXPECT_EQ(here.executions(order), 1);
    // If the other one fails as well, the caller gets a target's answer and not one of the node's.
    here.run_here([&] { here.at(1).target->injected_faults().status = 500; });
    const auto failed = here.ask(here.at(0), "GET", "/read/x", here.make_id());
    EXPECT_EQ(failed.answer.status, 500);
    EXPECT_FALSE(net::find_header(failed.answer.fields, "x-response-signature").empty());
}

// The load pattern: every request fails since its call does. Repeats stay within the small share.
TEST(platform_path, failures_of_a_common_cause_are_hardly_repeated) {
    world here;
    here.add_host("front", "a", {{"/read/", world::host_name, "/nowhere/x"}});
    here.add_host("front", "a", {{"/read/", world::host_name, "/nowhere/x"}});
    here.publish({{"/front/", "front", true}, {"/read/", "front", true}});
    ASSERT_TRUE(wait_until([&] {
        return here.metric(here.at(0), "hosts_known") == 2 && here.ready_status(here.at(0)) == 200;
    }));
    int repeats = 0;
    for (int i = 0; i < 300; ++i) {
        const auto id = here.make_id();
        EXPECT_EQ(here.ask(here.at(0), "GET", "/read/x", id).answer.status, 500);
        repeats += here.executions(id) - 1;
    }
    EXPECT_LE(repeats, 3);
}

TEST(platform_path, a_refusal_says_not_run_and_is_true) {
    world here;
    here.add_host("front");
    here.publish({{"/front/", "front", false}});
    ASSERT_TRUE(here.settle());
    here.run_here([&] { here.at(0).target->injected_faults().sheds = true; });
    const auto id = here.make_id();
    const auto result = here.ask(here.at(0), "POST", "/front/x", id);
    EXPECT_EQ(result.answer.status, 503);
    EXPECT_FALSE(net::find_header(result.answer.fields, "retry-after").empty());
    EXPECT_EQ(here.executions(id), 0);
}

TEST(platform_path, a_request_past_its_time_is_answered_without_a_promise) {
    world here;
    here.add_host("front");
    here.publish({{"/front/", "front", false}});
    ASSERT_TRUE(here.settle());
    here.run_here([&] { here.at(0).target->injected_faults().hangs = true; });
    const auto id = here.make_id();
    const auto began = runtime_clock::now();
    const auto result = here.ask(here.at(0), "POST", "/front/x", id, 400);
    EXPECT_EQ(result.answer.status, 504);
    EXPECT_LT(runtime_clock::now() - began, milliseconds(700));
    EXPECT_EQ(here.executions(id), 1);
}

TEST(platform_path, requests_whose_callers_go_leave_the_connections_open) {
    world here;
    here.add_host("front", "a", {}, milliseconds(20));
    here.publish({{"/front/", "front", true}});
    ASSERT_TRUE(here.settle());
    const auto before = here.metric(here.at(0), "target_connections_opened");
    for (int i = 0; i < 20; ++i) {
        here.leave_early(here.at(0), "/front/x", milliseconds(10));
    }
    EXPECT_LE(here.metric(here.at(0), "target_connections_opened") - before, 3);
    EXPECT_TRUE(wait_until([&] { return here.metric(here.at(0), "at_target") == 0; }));
}

TEST(platform_path, a_killed_node_never_makes_an_order_run_twice) {
    world here;
    here.add_host("front");
    here.add_host("back");
    here.add_host("back");
    here.publish({{"/back/", "back", false}});
    ASSERT_TRUE(here.settle());
    here.run_here([&] {
        here.at(1).target->injected_faults().hangs = true;
        here.at(2).target->injected_faults().hangs = true;
    });
    const auto id = here.make_id();
    std::thread killer([&] {
        EXPECT_TRUE(wait_until([&] { return here.executions(id) == 1; }));
        here.at(1).node->kill();
        here.at(2).node->kill();
    });
    const auto result = here.ask(here.at(0), "POST", "/back/x", id);
    killer.join();
    EXPECT_EQ(result.answer.status, 502);
    EXPECT_EQ(here.executions(id), 1);
}

} // namespace
} // namespace lavenderhoist::platform_test
