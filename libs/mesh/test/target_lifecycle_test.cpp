#include "lavenderhoist/mesh/target_lifecycle.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <map>
#include <set>
#include <vector>

namespace lavenderhoist::mesh {
namespace {

announcement make(std::string id, std::int64_t started_at, std::uint64_t sequence,
                  bool leaving = false) {
    announcement received;
    received.id = std::move(id);
    received.service = "dosing";
    received.address = {"10.0.0.1", 80};
    received.slots = 10;
    received.started_at_ms = started_at;
    received.sequence = sequence;
    received.leaving = leaving;
    return received;
}

host_record record_of(const target_lifecycle& from) {
    host_record record;
    record.state = from.state();
    if (const auto* const known = from.current()) {
        record.target_id = known->id;
        record.target_started_at_ms = known->started_at_ms;
    }
    return record;
}

TEST(target_lifecycle, a_first_announcement_gets_work) {
    target_lifecycle target;
    EXPECT_EQ(target.on_announcement(make("a", 1, 1)), lifecycle_change::started);
    EXPECT_TRUE(target.is_accepting_work());
    EXPECT_EQ(target.on_announcement(make("a", 1, 2)), lifecycle_change::none);
}

TEST(target_lifecycle, a_leave_is_not_taken_back) {
    target_lifecycle target;
    target.on_announcement(make("a", 1, 1));
    EXPECT_EQ(target.on_announcement(make("a", 1, 3, true)), lifecycle_change::leaving);
    EXPECT_EQ(target.on_announcement(make("a", 1, 2)), lifecycle_change::outdated);
    EXPECT_EQ(target.on_announcement(make("a", 1, 4)), lifecycle_change::none);
    EXPECT_FALSE(target.is_accepting_work());
}

TEST(target_lifecycle, a_sign_off_is_not_taken_back_by_a_late_announcement) {
    target_lifecycle target;
    target.on_announcement(make("a", 1, 1));
    EXPECT_EQ(target.on_sign_off("a", 1), lifecycle_change::gone);
    EXPECT_EQ(target.on_announcement(make("a", 1, 2)), lifecycle_change::none);
    EXPECT_FALSE(target.is_accepting_work());
}

TEST(target_lifecycle, a_newer_start_under_the_same_id_gets_work) {
    target_lifecycle target;
    target.on_announcement(make("a", 1, 9));
    target.on_sign_off("a", std::nullopt);
    EXPECT_EQ(target.on_announcement(make("a", 5, 1)), lifecycle_change::started);
    EXPECT_TRUE(target.is_accepting_work());
    EXPECT_EQ(target.on_announcement(make("a", 1, 10)), lifecycle_change::outdated);
    EXPECT_TRUE(target.is_accepting_work());
}

TEST(target_lifecycle, a_sign_off_of_an_older_start_leaves_the_newer_one) {
    target_lifecycle target;
    target.on_announcement(make("a", 5, 1));
    EXPECT_EQ(target.on_sign_off("a", 1), lifecycle_change::outdated);
    EXPECT_TRUE(target.is_accepting_work());
}

TEST(target_lifecycle, a_restarted_node_keeps_to_the_leave_that_it_acknowledged) {
    target_lifecycle before;
    before.on_announcement(make("a", 1, 1));
    before.on_sign_off("a", 1);
    target_lifecycle after;
    after.on_announcement(make("a", 1, 2)); // delayed, arrives after the restart of the node
    after.restore(record_of(before));
    EXPECT_FALSE(after.is_accepting_work());
    EXPECT_EQ(after.on_announcement(make("b", 7, 1)), lifecycle_change::started);
    EXPECT_TRUE(after.is_accepting_work());
}

// Announcements in any order and restarts of the node at any time: no start that has left gets
// work.
TEST(target_lifecycle, no_start_that_has_left_gets_work) {
    rc::check([] {
        target_lifecycle target;
        std::set<std::int64_t> left;
        std::int64_t newest = 0;
        const auto steps = *rc::gen::inRange(1, 40);
        for (int i = 0; i < steps; ++i) {
            const auto started_at = static_cast<std::int64_t>(*rc::gen::inRange(1, 5));
            const auto sequence = static_cast<std::uint64_t>(*rc::gen::inRange(1, 9));
            switch (*rc::gen::inRange(0, 4)) {
            case 0:
                target.on_announcement(make("a", started_at, sequence));
                break;
            case 1:
                if (target.on_announcement(make("a", started_at, sequence, true)) ==
                    lifecycle_change::leaving) {
                    left.insert(started_at);
                }
                break;
            case 2:
                if (target.on_sign_off("a", started_at) == lifecycle_change::gone) {
                    left.insert(started_at);
                }
                break;
            default: {
                target_lifecycle restarted;
                restarted.restore(record_of(target));
                target = restarted;
            }
            }
            newest = std::max(newest, target.current() ? target.current()->started_at_ms : 0);
            if (target.is_accepting_work()) {
                RC_ASSERT(!left.contains(target.current()->started_at_ms));
            }
        }
    });
}

} // namespace
} // namespace lavenderhoist::mesh
