#include "lavenderhoist/agent/store_readers.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace lavenderhoist::agent {
namespace {

constexpr time_point start{std::chrono::hours(1)};

mesh::host_record make_host(std::string id, std::string data_centre = "a") {
    mesh::host_record record;
    record.id = std::move(id);
    record.data_centre = std::move(data_centre);
    record.state = mesh::target_state::ready;
    return record;
}

std::vector<mesh::host_record> make_hosts(int count, const std::string& data_centre = "a") {
    std::vector<mesh::host_record> hosts;
    for (int i = 0; i < count; ++i) {
        hosts.push_back(make_host(data_centre + std::to_string(i), data_centre));
    }
    return hosts;
}

/** The nodes of the hosts, each with the same knowledge. */
class node_set {
public:
    explicit node_set(const std::vector<mesh::host_record>& hosts) {
        for (const auto& host : hosts) {
            nodes_.emplace(host.id, store_readers(host.id, host.data_centre));
            nodes_.at(host.id).set_hosts(hosts);
        }
    }

    std::set<std::string> readers() const {
        std::set<std::string> found;
        for (const auto& [id, node] : nodes_) {
            if (node.is_reader()) {
                found.insert(id);
            }
        }
        return found;
    }

    /** Every node compares once; nodes of `down` neither compare nor respond, those of `cut` have
     * lost the store. */
    void compare(const std::set<std::string>& down, const std::set<std::string>& cut,
                 time_point now) {
        const auto reading = readers();
        for (auto& [id, node] : nodes_) {
            if (down.contains(id)) {
                continue;
            }
            const auto other = node.next_node(now);
            if (!other) {
                continue;
            }
            if (down.contains(*other)) {
                node.on_no_response(*other, now);
            } else {
                node.on_response(*other, reading.contains(*other) && !cut.contains(*other), now);
            }
        }
    }

private:
    std::map<std::string, store_readers> nodes_;
};

TEST(store_readers, two_nodes_of_each_data_centre_read_the_store) {
    auto hosts = make_hosts(16, "a");
    for (const auto& host : make_hosts(5, "b")) {
        hosts.push_back(host);
    }
    const auto readers = node_set(hosts).readers();
    EXPECT_EQ(std::ranges::count_if(readers, [](const auto& id) { return id[0] == 'a'; }), 2);
    EXPECT_EQ(std::ranges::count_if(readers, [](const auto& id) { return id[0] == 'b'; }), 2);
}

TEST(store_readers, a_node_that_knows_no_other_reads_the_store) {
    store_readers alone("a", "x");
    EXPECT_TRUE(alone.is_reader());
    EXPECT_EQ(alone.next_node(start), std::nullopt);
}

TEST(store_readers, others_take_the_place_of_readers_that_do_not_respond) {
    node_set nodes(make_hosts(12));
    const auto down = nodes.readers();
    time_point now = start;
    for (int i = 0; i < 8; ++i) {
        now += milliseconds(250);
        nodes.compare(down, {}, now);
    }
    auto replaced = nodes.readers();
    for (const auto& id : down) {
        replaced.erase(id);
    }
    EXPECT_GE(replaced.size(), 2U);
    for (int i = 0; i < 400; ++i) { // they are back
        now += milliseconds(250);
        nodes.compare({}, {}, now);
    }
    EXPECT_EQ(nodes.readers(), down);
}

TEST(store_readers, stopping_and_gone_hosts_are_no_readers) {
    auto hosts = make_hosts(12);
    const auto first = node_set(hosts).readers();
    for (auto& host : hosts) {
        host.node_stopping = host.id == *first.begin();
        host.state = host.id == *first.rbegin() ? mesh::target_state::gone : host.state;
    }
    const auto next = node_set(hosts).readers();
    EXPECT_EQ(next.size(), 4U); // two others; the first ones do not count themselves out
}

// Whatever nodes are down or have lost the store, soon some node that can read the store does so,
// if there is one, and every other node compares with a node that responds.
RC_GTEST_PROP(store_readers, some_node_with_the_store_reads_it_after_a_while, ()) {
    const auto hosts = make_hosts(*rc::gen::inRange(1, 9));
    std::set<std::string> down;
    std::set<std::string> cut;
    for (const auto& host : hosts) {
        switch (*rc::gen::inRange(0, 3)) {
        case 0:
            down.insert(host.id);
            break;
        case 1:
            cut.insert(host.id);
            break;
        default:
            break;
        }
    }
    node_set nodes(hosts);
    time_point now = start;
    for (int i = 0; i < 60; ++i) {
        now += milliseconds(250);
        nodes.compare(down, cut, now);
    }
    bool has_able_node = false;
    bool has_able_reader = false;
    const auto reading = nodes.readers();
    for (const auto& host : hosts) {
        const bool is_able = !down.contains(host.id) && !cut.contains(host.id);
        has_able_node = has_able_node || is_able;
        has_able_reader = has_able_reader || (is_able && reading.contains(host.id));
    }
    RC_ASSERT(has_able_reader == has_able_node);
}

} // namespace
} // namespace lavenderhoist::agent
