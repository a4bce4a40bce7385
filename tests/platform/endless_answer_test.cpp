#include "world.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <thread>
#include <vector>

namespace lavenderhoist::platform_test {

// A faulty target answers all its requests with bodies that have no end.
TEST(platform_endless_answer, neither_memory_nor_other_requests_suffer) {
    world here;
    here.add_host("front");
    here.publish({{"/front/", "front", false}});
    ASSERT_TRUE(here.settle());
    here.run_here([&] { here.at(0).to_target->set_mode(proxy_mode::endless); });
    constexpr int requests = 10;
    std::vector<std::thread> callers;
    for (int i = 0; i < requests; ++i) {
        callers.emplace_back([&here, i] {
            const auto id = "endless" + std::to_string(i);
            const auto result = here.ask(here.at(0), "POST", "/front/x", id, 3'000);
            // They may have run; what came is no answer.
            EXPECT_GE(result.answer.status, 502);
            EXPECT_NE(result.answer.status, 503);
        });
    }
    std::atomic<bool> ended{false};
    double most_memory_mb = 0;
    std::thread watch([&] {
        while (!ended) {
            const auto used = harness::usage_of(here.at(0).node->id()).resident_mb;
            most_memory_mb = std::max(most_memory_mb, used);
            std::this_thread::sleep_for(milliseconds(5));
        }
    });
    for (auto& each : callers) {
        each.join();
    }
    ended = true;
    watch.join();
    here.run_here([&] { here.at(0).to_target->set_mode(proxy_mode::pass); });
    EXPECT_EQ(here.ask(here.at(0), "POST", "/front/x", here.make_id()).answer.status, 200);
    // The least memory of a node on the users' deployments.
    constexpr double node_memory_mb = 160;
    EXPECT_LT(most_memory_mb, node_memory_mb);
}

} // namespace lavenderhoist::platform_test
