#include "lavenderhoist/agent/store_knowledge.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <vector>

namespace lavenderhoist::agent {
namespace {

constexpr time_point start{std::chrono::hours(1)};

/** Time from the confirmation of a version until it must be in force. */
constexpr duration max_apply_time = std::chrono::seconds(2);

} // namespace

// A node that has just started must not vouch for what a peer that is behind has given it.
TEST(store_knowledge, a_node_that_has_just_started_knows_nothing) {
    store_knowledge knowledge(start);
    EXPECT_EQ(knowledge.next_read_at(), start + store_knowledge::max_age);
    EXPECT_TRUE(knowledge.is_stale(start));
    knowledge.on_confirmed(start - std::chrono::seconds(10));
    EXPECT_TRUE(knowledge.is_stale(start));
    EXPECT_EQ(knowledge.next_read_at(), start + store_knowledge::max_age);
}

TEST(store_knowledge, ages_while_nothing_is_confirmed) {
    store_knowledge knowledge(start);
    knowledge.on_confirmed(start);
    EXPECT_EQ(knowledge.next_read_at(), start + store_knowledge::max_age);
    EXPECT_FALSE(knowledge.is_stale(start));
    EXPECT_TRUE(knowledge.is_stale(start + store_knowledge::max_age));
}

TEST(store_knowledge, an_older_confirmation_changes_nothing) {
    store_knowledge knowledge(start);
    knowledge.on_confirmed(start + milliseconds(500));
    knowledge.on_confirmed(start + milliseconds(100));
    EXPECT_EQ(knowledge.as_of(), start + milliseconds(500));
    EXPECT_EQ(knowledge.next_read_at(), start + milliseconds(500) + store_knowledge::max_age);
}

TEST(store_knowledge, reads_that_are_not_answered_become_rare) {
    store_knowledge knowledge(start);
    int reads = 0;
    for (auto now = knowledge.next_read_at(); now < start + std::chrono::seconds(60);
         now = knowledge.next_read_at()) {
        knowledge.on_read(now);
        ++reads;
    }
    EXPECT_LE(reads, 22);
    EXPECT_GE(reads, 10);
}

// Whatever confirmations come when, a node whose reads are answered within a few hundred
// milliseconds never acts on knowledge that is older than a version may be.
RC_GTEST_PROP(store_knowledge, stays_younger_than_a_version_may_be, ()) {
    store_knowledge knowledge(start);
    knowledge.on_confirmed(start);
    const duration answer_time = milliseconds(*rc::gen::inRange(0, 400));
    const auto gaps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 3'000));
    auto now = start;
    for (const int gap : gaps) {
        const auto next = now + milliseconds(gap);
        while (knowledge.next_read_at() <= next) {
            const auto asked_at = std::max(now, knowledge.next_read_at());
            RC_ASSERT(knowledge.age(asked_at + answer_time) <= max_apply_time);
            knowledge.on_read(asked_at);
            knowledge.on_confirmed(asked_at);
        }
        now = next;
        const duration late = milliseconds(*rc::gen::inRange(0, 2'000));
        knowledge.on_confirmed(now - late); // by a peer, some time after the store's answer
        RC_ASSERT(knowledge.age(now) <= max_apply_time);
    }
}

} // namespace lavenderhoist::agent
