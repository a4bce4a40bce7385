#include "world.hpp"

#include <gtest/gtest.h>

namespace lavenderhoist::platform_test {
namespace {

// Connections between nodes that fall silent for good, without a reset, while new ones work
// (deploy/days/severed.toml).
TEST(platform_silent_connections, between_nodes_are_replaced_within_two_seconds) {
    world deployment;
    deployment.add_host("front");
    deployment.add_host("back");
    deployment.publish({{"/back/", "back"}});
    ASSERT_TRUE(deployment.wait_until_ready());
    deployment.run_on_stub_thread([&] { deployment.at(1).to_node->silence_open(); });
    EXPECT_TRUE(wait_until(
        [&] {
            return deployment
                       .send_request(deployment.at(0), "GET", "/back/x", deployment.make_id(), 500)
                       .answer.status == 200;
        },
        std::chrono::seconds(2)));
}

// The same for connections to the store, before a leave and a change of the configuration
// (deploy/days/unanswered.toml).
TEST(platform_silent_connections, to_the_store_delay_neither_leaves_nor_configurations) {
    world deployment;
    deployment.add_host("back");
    deployment.add_host("back");
    deployment.publish({{"/back/", "back"}});
    ASSERT_TRUE(deployment.wait_until_ready());
    for (std::size_t i = 0; i < deployment.size(); ++i) {
        deployment.run_on_stub_thread([&] { deployment.at(i).to_store->silence_open(); });
    }
    auto& leaving = deployment.at(0);
    deployment.run_on_stub_thread([&] { leaving.target->leave(); });
    EXPECT_EQ(deployment.await([&] { return leaving.target->send_heartbeat(); }), 200);
    deployment.publish({{"/back/", "back"}, {"/late/", "back"}});
    EXPECT_TRUE(wait_until(
        [&] {
            return deployment.send_request(leaving, "GET", "/late/x", deployment.make_id(), 500)
                       .answer.status == 200;
        },
        std::chrono::seconds(2)));
    EXPECT_TRUE(wait_until([&] {
        return deployment.run_on_stub_thread([&] {
            return deployment.store().newest_host_record(leaving.id).find("leaving") !=
                   std::string::npos;
        });
    }));
}

} // namespace
} // namespace lavenderhoist::platform_test
