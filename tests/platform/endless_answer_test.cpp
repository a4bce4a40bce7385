#include "world.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <thread>
#include <vector>

namespace lavenderhoist::platform_test {

namespace {

// A faulty target answers every request without end: the node must bound what it buffers.
void expect_bounded_memory(proxy_mode mode) {
    world deployment;
    deployment.add_host("front");
    deployment.publish({{"/front/", "front", false}});
    ASSERT_TRUE(deployment.wait_until_ready());
    deployment.run_on_stub_thread([&] { deployment.at(0).to_target->set_mode(mode); });
    constexpr int requests = 10;
    std::vector<std::thread> callers;
    for (int i = 0; i < requests; ++i) {
        callers.emplace_back([&deployment, i] {
            const auto id = "endless" + std::to_string(i);
            const auto result =
                deployment.send_request(deployment.at(0), "POST", "/front/x", id, 3'000);
            // The request may have run, but there is no complete answer: an error other than 503
            // (not run).
            EXPECT_GE(result.answer.status, 502);
            EXPECT_NE(result.answer.status, 503);
        });
    }
    std::atomic<bool> ended{false};
    double max_memory_mb = 0;
    std::thread watch([&] {
        while (!ended) {
            const auto used = harness::usage_of(deployment.at(0).node->id()).resident_mb;
            max_memory_mb = std::max(max_memory_mb, used);
            std::this_thread::sleep_for(milliseconds(5));
        }
    });
    for (auto& each : callers) {
        each.join();
    }
    ended = true;
    watch.join();
    deployment.run_on_stub_thread([&] { deployment.at(0).to_target->set_mode(proxy_mode::pass); });
    EXPECT_EQ(deployment.send_request(deployment.at(0), "POST", "/front/x", deployment.make_id())
                  .answer.status,
              200);
    // The smallest memory that a node has in users' deployments.
    constexpr double node_memory_limit_mb = 160;
    EXPECT_LT(max_memory_mb, node_memory_limit_mb);
}

TEST(platform_endless_answer, neither_memory_nor_other_requests_suffer) {
    expect_bounded_memory(proxy_mode::endless);
}

TEST(platform_endless_answer, neither_memory_nor_other_requests_suffer_from_an_endless_head) {
    expect_bounded_memory(proxy_mode::endless_head);
}

} // namespace

} // namespace lavenderhoist::platform_test
