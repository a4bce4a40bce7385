#include "world.hpp"

#include "lavenderhoist/core/hash.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <thread>
#include <utility>
#include <vector>

namespace lavenderhoist::platform_test {
namespace {

/** Time from the publication of a version until every node that reaches the store applies it. */
constexpr auto max_apply_time = std::chrono::seconds(2);

/** The hosts of a deployment with one data centre; those that read the store come first. */
std::vector<host*> in_reader_order(world& deployment) {
    std::vector<host*> hosts;
    for (std::size_t i = 0; i < deployment.size(); ++i) {
        hosts.push_back(&deployment.at(i));
    }
    std::ranges::sort(hosts, {},
                      [](const host* each) { return std::pair(stable_hash(each->id), each->id); });
    return hosts;
}

bool serves(world& deployment, const host& through, const std::string& path) {
    return deployment.send_request(through, "GET", path, deployment.make_id(), 500).answer.status ==
           200;
}

void set_store_path(world& deployment, const host& which, proxy_mode mode) {
    deployment.run_on_stub_thread([&] { which.to_store->set_mode(mode); });
}

TEST(platform_configuration, is_in_force_in_time_where_all_readers_of_the_store_wait_in_silence) {
    world deployment;
    for (int i = 0; i < 4; ++i) {
        deployment.add_host("back");
    }
    deployment.publish({{"/back/", "back"}});
    ASSERT_TRUE(deployment.wait_until_ready());
    const auto hosts = in_reader_order(deployment);
    for (auto* const each : {hosts[0], hosts[1], hosts[2]}) {
        set_store_path(deployment, *each, proxy_mode::silent);
    }
    deployment.publish({{"/back/", "back"}, {"/late/", "back"}});
    EXPECT_TRUE(
        wait_until([&] { return serves(deployment, *hosts[3], "/late/x"); }, max_apply_time));
}

TEST(platform_configuration, is_in_force_in_time_at_a_reader_whose_connections_fell_silent) {
    world deployment;
    deployment.add_host("back");
    deployment.publish({{"/back/", "back"}});
    ASSERT_TRUE(deployment.wait_until_ready());
    // The wait and all idle connections are silent for good; new connections work.
    deployment.run_on_stub_thread([&] { deployment.at(0).to_store->silence_open(); });
    deployment.publish({{"/back/", "back"}, {"/late/", "back"}});
    EXPECT_TRUE(wait_until([&] { return serves(deployment, deployment.at(0), "/late/x"); },
                           max_apply_time));
}

// A node without the store learns from others, whatever the nodes that it asks first know.
TEST(platform_configuration, reaches_nodes_without_the_store_by_any_node_that_has_it) {
    world deployment;
    for (int i = 0; i < 6; ++i) {
        deployment.add_host("back");
    }
    deployment.publish({{"/back/", "back"}});
    ASSERT_TRUE(deployment.wait_until_ready());
    const auto hosts = in_reader_order(deployment);
    for (std::size_t i = 0; i + 1 < hosts.size(); ++i) {
        set_store_path(deployment, *hosts[i], proxy_mode::silent);
    }
    deployment.publish({{"/back/", "back"}, {"/late/", "back"}});
    constexpr auto spread_time = std::chrono::seconds(2);
    EXPECT_TRUE(wait_until(
        [&] {
            return std::ranges::all_of(
                hosts, [&](const host* each) { return serves(deployment, *each, "/late/x"); });
        },
        max_apply_time + spread_time));
}

} // namespace
} // namespace lavenderhoist::platform_test
