#include "world.hpp"

#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

namespace lavenderhoist::platform_test {
namespace {

/** Entries of another writer among the records of the hosts, by key. */
std::vector<std::pair<std::string, std::string>> odd_entries() {
    constexpr int levels = 50'000;
    const std::string sound =
        R"({"id":"ID","data_centre":"a","calls":"CALLS","service":"back","target":"t",)"
        R"("born_ms":1,"slots":SLOTS,"state":"ready","stopping":false})";
    const auto record = [&sound](const std::string& id, const std::string& calls,
                                 const std::string& slots) {
        std::string text = sound;
        text.replace(text.find("ID"), 2, id);
        text.replace(text.find("CALLS"), 5, calls);
        text.replace(text.find("SLOTS"), 5, slots);
        return std::pair(id, text);
    };
    return {
        {"a", std::string(levels, '[') + std::string(levels, ']')},
        {"b", R"({"x":)" + std::string(levels, '[')},
        record("c", "127.0.0.1:99999", "1"),
        record("d", "127.0.0.1:0", "1"),
        record("e", "no-address:80", "1"),
        record("f", "127.0.0.1:80", "99999999999999999999999999"),
        record("g", "127.0.0.1:80", "1e400"),
        record("h", "127.0.0.1:80", "-7"),
        {"\xff&x=\n", "\x00\x01\xff"},
        {"", "{}"},
    };
}

void put_odd_entries(world& deployment) {
    deployment.run_on_stub_thread([&] {
        for (const auto& [key, value] : odd_entries()) {
            deployment.store().put_host_record(key, value);
        }
    });
}

TEST(platform_odd_entries, neither_end_a_node_nor_hide_the_entries_beside_them) {
    world deployment;
    put_odd_entries(deployment);
    deployment.add_host("back");
    put_odd_entries(deployment);
    deployment.add_host("back");
    deployment.publish({{"/back/", "back"}});
    ASSERT_TRUE(deployment.wait_until_ready()); // every node knows just the sound hosts
    put_odd_entries(deployment);
    deployment.add_host("late");
    deployment.publish({{"/back/", "back"}, {"/late/", "late"}});
    ASSERT_TRUE(deployment.wait_until_ready());
    deployment.at(0).node->kill();
    deployment.start_node(deployment.at(0)); // lists them all
    EXPECT_TRUE(deployment.wait_until_ready());
    for (std::size_t i = 0; i < deployment.size(); ++i) {
        EXPECT_TRUE(deployment.at(i).node->is_running()) << "node " << i;
    }
}

} // namespace
} // namespace lavenderhoist::platform_test
