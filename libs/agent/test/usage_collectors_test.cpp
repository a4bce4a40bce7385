#include "lavenderhoist/agent/usage_collectors.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

namespace lavenderhoist::agent {
namespace {

const time_point start{std::chrono::seconds(1'000)};

class usage_collectors_test : public testing::Test {
protected:
    usage_collectors_test() {
        for (const char* const data_centre : {"a", "b"}) {
            for (int i = 0; i < 4; ++i) {
                mesh::host_record host;
                host.id = data_centre + std::to_string(i);
                host.data_centre = data_centre;
                host.state = mesh::target_state::ready;
                hosts_.push_back(host);
            }
        }
    }

    mesh::host_record& record_of(const std::string& id) {
        return *std::ranges::find(hosts_, id, &mesh::host_record::id);
    }

    std::vector<mesh::host_record> hosts_;
    usage_collectors collectors_;
};

} // namespace

TEST_F(usage_collectors_test, all_nodes_choose_the_same_whatever_the_order_of_their_lists) {
    const auto chosen = collectors_.find(hosts_, "a", start);
    ASSERT_TRUE(chosen);
    EXPECT_EQ(record_of(*chosen).data_centre, "a");
    std::ranges::reverse(hosts_);
    EXPECT_EQ(usage_collectors().find(hosts_, "a", start), chosen);
    EXPECT_EQ(collectors_.find(hosts_, "c", start), std::nullopt);
    EXPECT_EQ(usage_collectors::data_centres(hosts_), (std::vector<std::string>{"a", "b"}));
}

TEST_F(usage_collectors_test, a_node_that_does_not_respond_is_passed_over_for_a_while) {
    const auto first = collectors_.find(hosts_, "a", start);
    collectors_.on_no_response(*first, start);
    const auto second = collectors_.find(hosts_, "a", start);
    ASSERT_TRUE(second);
    EXPECT_NE(second, first);
    EXPECT_EQ(collectors_.find(hosts_, "a", start + std::chrono::minutes(1)), first);
}

TEST_F(usage_collectors_test, nodes_that_stop_or_have_gone_collect_nothing) {
    const auto first = collectors_.find(hosts_, "b", start);
    record_of(*first).node_stopping = true;
    const auto second = collectors_.find(hosts_, "b", start);
    EXPECT_NE(second, first);
    record_of(*second).state = mesh::target_state::gone;
    const auto third = collectors_.find(hosts_, "b", start);
    ASSERT_TRUE(third);
    EXPECT_NE(third, first);
    EXPECT_NE(third, second);
}

} // namespace lavenderhoist::agent
