// A node must bound the bytes that it holds without refusing small requests or a single large one.

#include "lavenderhoist/net/memory_account.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>

namespace lavenderhoist::net {
namespace {

using decision = memory_account::decision;
using verdicts = std::vector<memory_account::verdict>;

constexpr std::size_t mib = 1U << 20U;
constexpr std::size_t smallest_host = 96 * mib;

TEST(memory_account, accepts_a_single_body_of_64_mib_on_the_smallest_host) {
    memory_account account(smallest_host);
    EXPECT_EQ(account.on_announced(64 * mib), decision::accept);
    const auto only = account.add();
    for (std::size_t bytes = mib; bytes <= 64 * mib; bytes += mib) {
        EXPECT_EQ(account.resize(only, bytes), verdicts{});
    }
}

TEST(memory_account, refuses_the_largest_message_instead_of_the_one_that_arrives) {
    memory_account account(smallest_host);
    const auto large = account.add();
    const auto medium = account.add();
    const auto arriving = account.add();
    EXPECT_EQ(account.resize(large, 50 * mib), verdicts{});
    EXPECT_EQ(account.resize(medium, 20 * mib), verdicts{});
    EXPECT_EQ(account.resize(arriving, 3 * mib), (verdicts{{large, decision::refuse}}));
    EXPECT_EQ(account.total(), 23 * mib);
}

// Large messages that run must not keep small requests out.
TEST(memory_account, keeps_room_for_small_messages_beside_large_ones_that_were_passed_on) {
    memory_account account(smallest_host);
    const auto running = account.add();
    account.resize(running, 64 * mib);
    account.retain(running);
    EXPECT_EQ(account.on_announced(16 * mib), decision::refuse);
    EXPECT_EQ(account.on_announced(mib), decision::accept);
    const auto large = account.add();
    EXPECT_EQ(account.resize(large, 16 * mib), (verdicts{{large, decision::refuse}}));
    for (int i = 0; i < 32; ++i) {
        EXPECT_EQ(account.resize(account.add(), mib), verdicts{}) << i;
    }
}

// A caller that returns later would be refused again and again.
TEST(memory_account, tells_a_message_that_never_fits_from_one_that_does_not_fit_now) {
    memory_account account(8 * mib);
    EXPECT_EQ(account.on_announced(7 * mib), decision::too_large);
    EXPECT_EQ(account.on_announced(6 * mib), decision::accept);
    const auto only = account.add();
    EXPECT_EQ(account.resize(only, 7 * mib), (verdicts{{only, decision::too_large}}));
}

TEST(memory_account, counts_no_bytes_of_removed_or_refused_holders) {
    memory_account account(smallest_host);
    const auto removed = account.add();
    account.resize(removed, 5 * mib);
    account.retain(removed);
    account.remove(removed);
    account.remove(removed);
    EXPECT_EQ(account.resize(removed, mib), verdicts{});
    EXPECT_EQ(account.total(), 0U);
    EXPECT_EQ(account.on_announced(72 * mib), decision::accept);
}

RC_GTEST_PROP(memory_account, exceeds_its_bound_only_by_what_cannot_be_refused, ()) {
    memory_account account(smallest_host);
    std::map<memory_account::holder, std::size_t> retained;
    std::map<memory_account::holder, std::size_t> receiving;
    const auto steps = *rc::gen::inRange(1, 200);
    for (int i = 0; i < steps; ++i) {
        const auto who = account.add();
        const auto bytes = *rc::gen::inRange<std::size_t>(1, 40 * mib);
        receiving[who] = bytes;
        for (const auto& each : account.resize(who, bytes)) {
            RC_ASSERT(receiving.erase(each.whom) == 1U);
        }
        if (*rc::gen::inRange(0, 4) == 0 && receiving.contains(who)) {
            account.retain(who);
            retained.insert(receiving.extract(who));
        }
        if (*rc::gen::inRange(0, 4) == 0 && !retained.empty()) {
            account.remove(retained.begin()->first);
            retained.erase(retained.begin());
        }
        std::size_t expected = 0;
        for (const auto& all : {retained, receiving}) {
            for (const auto& [holder, held] : all) {
                expected += held;
            }
        }
        RC_ASSERT(account.total() == expected);
        RC_ASSERT(account.total() <= smallest_host);
    }
}

} // namespace
} // namespace lavenderhoist::net
