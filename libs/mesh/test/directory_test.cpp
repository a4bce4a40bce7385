#include "lavenderhoist/mesh/directory.hpp"

#include <gtest/gtest.h>

namespace lavenderhoist::mesh {
namespace {

host_record make(target_state state, std::int64_t started_at_ms = 1) {
    host_record record;
    record.id = "host";
    record.target_id = "target";
    record.target_started_at_ms = started_at_ms;
    record.state = state;
    return record;
}

TEST(directory, keeps_the_record_with_the_highest_offset) {
    directory hosts;
    EXPECT_TRUE(hosts.apply(make(target_state::ready), {1, 5}));
    EXPECT_FALSE(hosts.apply(make(target_state::gone), {1, 4}));
    EXPECT_FALSE(hosts.apply(make(target_state::gone), {1, 5}));
    EXPECT_TRUE(hosts.apply(make(target_state::leaving), {1, 6}));
    EXPECT_EQ(hosts.find("host")->record.state, target_state::leaving);
}

TEST(directory, a_lower_offset_of_a_later_era_is_newer) {
    directory hosts;
    hosts.apply(make(target_state::ready), {1, 50});
    EXPECT_TRUE(hosts.apply(make(target_state::leaving), {2, 10}));
    EXPECT_FALSE(hosts.apply(make(target_state::ready), {1, 60}));
    EXPECT_EQ(hosts.find("host")->record.state, target_state::leaving);
}

TEST(directory, a_restored_record_does_not_revert_a_departure) {
    directory hosts;
    hosts.apply(make(target_state::leaving), {1, 50});
    EXPECT_FALSE(hosts.apply(make(target_state::ready), {2, 10}));
    EXPECT_EQ(hosts.find("host")->record.state, target_state::leaving);
    // Its node publishes in the later era; a record at a higher offset counts without exception.
    EXPECT_TRUE(hosts.apply(make(target_state::ready, 2), {2, 11}));
    EXPECT_EQ(hosts.find("host")->record.state, target_state::ready);
}

// Otherwise the record would keep the position of an earlier era, and its node would write it again
// and again.
TEST(directory, a_record_that_was_just_written_has_its_new_position) {
    directory hosts;
    hosts.apply(make(target_state::gone), {1, 50});
    EXPECT_TRUE(hosts.put(make(target_state::leaving), {2, 10}));
    EXPECT_FALSE(hosts.put(make(target_state::ready), {2, 9})); // overwritten meanwhile
    EXPECT_EQ(hosts.find("host")->position, (record_position{2, 10}));
}

TEST(directory, a_restored_record_does_not_revert_a_newer_start) {
    directory hosts;
    hosts.apply(make(target_state::ready, 7), {1, 50});
    EXPECT_FALSE(hosts.apply(make(target_state::leaving, 3), {2, 10}));
    EXPECT_EQ(hosts.find("host")->record.target_started_at_ms, 7);
}

} // namespace
} // namespace lavenderhoist::mesh
