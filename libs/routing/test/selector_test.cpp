#include "lavenderhoist/routing.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>
#include <set>

using namespace lavenderhoist;
using namespace lavenderhoist::routing;

namespace {

constexpr time_point start{std::chrono::hours(1)};

} // namespace

TEST(selector, prefers_the_local_data_centre) {
    std::array<target_state, 2> states;
    const std::array<candidate, 2> candidates{
        {{&states[0], 0, false, false}, {&states[1], 0, true, false}}};
    selector chooser(1);
    for (int i = 0; i < 50; ++i) {
        EXPECT_EQ(std::get<chosen>(chooser.choose(candidates, 10, start)).index, 1U);
    }
}

TEST(selector, leaves_the_local_data_centre_when_all_there_refuse) {
    std::array<target_state, 2> states;
    const std::array<candidate, 2> candidates{
        {{&states[0], 0, false, false}, {&states[1], 500, true, false}}};
    selector chooser(1);
    EXPECT_EQ(std::get<chosen>(chooser.choose(candidates, 10, start)).index, 0U);
}

TEST(selector, distinguishes_refusal_from_absence) {
    std::array<target_state, 1> states;
    const std::array<candidate, 1> refusing{{{&states[0], 500, true, false}}};
    selector chooser(1);
    EXPECT_EQ(std::get<all_refuse>(chooser.choose(refusing, 10, start)).level, 500);
    const std::array<candidate, 1> tried{{{&states[0], 0, true, true}}};
    EXPECT_TRUE(std::holds_alternative<none_available>(chooser.choose(tried, 10, start)));
}

TEST(selector, sends_less_to_the_busier_target) {
    std::array<target_state, 2> states;
    for (int i = 0; i < 20; ++i) {
        states[0].on_sent();
    }
    const std::array<candidate, 2> candidates{
        {{&states[0], 0, true, false}, {&states[1], 0, true, false}}};
    selector chooser(1);
    int busier = 0;
    for (int i = 0; i < 1'000; ++i) {
        busier += std::get<chosen>(chooser.choose(candidates, 10, start)).index == 0 ? 1 : 0;
    }
    EXPECT_LT(busier, 350); // a quarter of the choices draw the busier target twice
}

TEST(target_state, is_ejected_after_failures_in_a_row_and_returns_on_trial) {
    target_state state;
    for (int i = 0; i < target_state::failures_to_eject; ++i) {
        EXPECT_TRUE(state.is_available(start));
        state.on_sent();
        state.on_failure(start);
    }
    EXPECT_FALSE(state.is_available(start));
    const auto later = start + target_state::base_ejection_time;
    EXPECT_TRUE(state.is_available(later));
    state.on_sent();
    EXPECT_FALSE(state.is_available(later)); // one probe at a time
    state.on_failure(later);
    EXPECT_FALSE(state.is_available(later + target_state::base_ejection_time));
    const auto last = later + target_state::base_ejection_time * 2;
    EXPECT_TRUE(state.is_available(last));
    state.on_sent();
    state.on_answer();
    state.on_sent();
    EXPECT_TRUE(state.is_available(last));
}

// Load pattern: an entry has many requests waiting for a target that returns from an ejection.
// Guards against sending them all after the first answer, and against one call at a time for many
// answers.
TEST(target_state, after_an_ejection_its_share_doubles_with_each_answer) {
    constexpr int waiting_requests = 60;
    target_state state;
    for (int i = 0; i < target_state::failures_to_eject; ++i) {
        state.on_sent();
        state.on_failure(start);
    }
    const auto later = start + target_state::base_ejection_time;
    const auto fill = [&] {
        while (state.is_available(later) && state.in_flight() < waiting_requests) {
            state.on_sent();
        }
        return state.in_flight();
    };
    EXPECT_EQ(fill(), 1);
    state.on_answer();
    EXPECT_EQ(fill(), 2);
    state.on_answer();
    EXPECT_EQ(fill(), 4);
    int answers = 2;
    for (; fill() < waiting_requests && answers < waiting_requests; ++answers) {
        state.on_answer();
    }
    EXPECT_LE(answers, 6); // 2 to the power of 6 is more than are waiting
}

TEST(target_state, a_failure_halves_the_share_of_a_returning_target) {
    target_state state;
    for (int i = 0; i < target_state::failures_to_eject; ++i) {
        state.on_sent();
        state.on_failure(start);
    }
    const auto later = start + target_state::base_ejection_time;
    for (int i = 0; i < 2; ++i) {
        state.on_sent();
        state.on_answer(); // two answers: four calls
    }
    state.on_sent();
    state.on_failure(later);
    EXPECT_FALSE(state.is_ejected(later));
    state.on_sent();
    EXPECT_TRUE(state.is_available(later));
    state.on_sent();
    EXPECT_FALSE(state.is_available(later)); // two calls
    state.on_failure(later);
    EXPECT_FALSE(state.is_available(later)); // one call, which is in flight
    state.on_failure(later);
    EXPECT_TRUE(state.is_ejected(later));
}

RC_GTEST_PROP(decaying_level, opens_within_its_lifetime, (int level)) {
    decaying_level subject;
    subject.record(std::abs(level % 1'024), start);
    RC_ASSERT(subject.level(start) == std::abs(level % 1'024));
    int before = subject.level(start);
    for (auto at = start; at < start + decaying_level::lifetime * 2;
         at += std::chrono::milliseconds(50)) {
        RC_ASSERT(subject.level(at) <= before);
        before = subject.level(at);
    }
    RC_ASSERT(subject.level(start + decaying_level::lifetime) == 0);
}

RC_GTEST_PROP(subset, is_stable_when_others_leave, (std::uint64_t entry)) {
    std::vector<subset_member> members;
    for (std::uint64_t i = 1; i <= 40; ++i) {
        members.push_back({i * 7'919, i % 3 == 0});
    }
    const auto first = choose_subset(members, entry, 12);
    RC_ASSERT(first.size() == 12U);
    auto fewer = members;
    fewer.erase(fewer.begin());
    const auto second = choose_subset(fewer, entry, 12);
    std::set<std::uint64_t> before;
    std::set<std::uint64_t> after;
    for (const auto i : first) {
        before.insert(members[i].id_hash);
    }
    for (const auto i : second) {
        after.insert(fewer[i].id_hash);
    }
    std::size_t kept = 0;
    for (const auto id : before) {
        kept += after.contains(id) ? 1 : 0;
    }
    RC_ASSERT(kept >= 11U);
}
