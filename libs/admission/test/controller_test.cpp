// The controller against a simple oracle: who runs, who waits, and that nobody is forgotten.

#include "lavenderhoist/admission.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>

using namespace lavenderhoist;
using namespace lavenderhoist::admission;

namespace {

constexpr time_point start{std::chrono::hours(1)};
constexpr int slots = 8;

/** What the oracle knows: every request that has neither ended nor been refused. */
struct oracle {
    time_point now{start};
    std::uint64_t next_id{1};
    std::set<std::uint64_t> running;
    std::map<std::uint64_t, request_info> waiting;
};

/** Applies decisions to the oracle and checks each against what it knew. */
void follow(oracle& known, const std::vector<decision>& decisions, const request_info* offered) {
    for (const auto& made : decisions) {
        const auto id = std::visit([](const auto& one) { return one.id; }, made);
        const bool is_offered = offered != nullptr && offered->id == id;
        RC_ASSERT(is_offered || known.waiting.contains(id));
        if (std::holds_alternative<queued>(made)) {
            known.waiting[id] = *offered;
            continue;
        }
        if (std::holds_alternative<admitted>(made)) {
            const auto request = is_offered ? *offered : known.waiting.at(id);
            RC_ASSERT(request.deadline > known.now);
            for (const auto& [other, waits] : known.waiting) {
                RC_ASSERT(other == id || rank_of(waits.importance) <= rank_of(request.importance) ||
                          waits.deadline <= known.now);
            }
            known.running.insert(id);
        }
        known.waiting.erase(id);
    }
}

// The load pattern: for ten seconds the target sheds half of what it is given, at any load.
TEST(controller, target_that_sheds_at_any_load_keeps_its_slots) {
    controller control(60);
    control.assume_warm();
    auto now = start;
    std::uint64_t id = 0;
    for (int window = 0; window < 100; ++window) {
        const auto first = id + 1;
        for (int i = 0; i < 60; ++i) {
            control.on_arrival({++id, 700, false, now + std::chrono::seconds(1)}, now);
        }
        now += controller::window_length;
        for (auto one = first; one <= id; ++one) {
            control.on_end(one, one % 2 == 0 ? completion::shed : completion::answered, now);
        }
        control.on_window(now);
    }
    EXPECT_GE(control.limit(), 50);
}

} // namespace

// The model depends on the decisions, so oracle and subject advance together, command by command.
RC_GTEST_PROP(controller, decides_as_the_oracle_allows, ()) {
    oracle known;
    controller control(slots);
    const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1 << 20));
    for (const int step : steps) {
        const int kind = step % 8;
        const int number = step / 8;
        if (kind < 4) {
            const int rank = number % ranks;
            const request_info request{known.next_id++, rank * cohorts + number % cohorts,
                                       number % 3 == 0,
                                       known.now + std::chrono::milliseconds(number % 400)};
            follow(known, control.on_arrival(request, known.now), &request);
        } else if (kind == 4 && !known.running.empty()) {
            const auto id = *known.running.begin();
            known.running.erase(id);
            const auto how = number % 5 == 0 ? completion::shed : completion::answered;
            follow(known, control.on_end(id, how, known.now), nullptr);
        } else if (kind == 5 && !known.waiting.empty()) {
            const auto id = known.waiting.begin()->first;
            RC_ASSERT(control.on_cancel(id));
            known.waiting.erase(id);
        } else if (kind == 6) {
            known.now += std::chrono::milliseconds(number % 50);
        } else {
            follow(known, control.on_window(known.now), nullptr);
        }
        RC_ASSERT(control.in_flight() == static_cast<int>(known.running.size()));
        RC_ASSERT(control.waiting() == static_cast<int>(known.waiting.size()));
        RC_ASSERT(control.in_flight() <= slots);
        RC_ASSERT(control.waiting() == 0 || control.in_flight() >= control.limit());
    }
}

TEST(controller, level_opens_within_a_second_without_load) {
    controller control(slots);
    auto now = start;
    std::uint64_t id = 0;
    for (int window = 0; window < 20; ++window) {
        for (int i = 0; i < 200; ++i) {
            const request_info request{++id, (i * 5) % closed_level, false,
                                       now + std::chrono::milliseconds(50)};
            control.on_arrival(request, now);
        }
        now += controller::window_length;
        for (std::uint64_t one = 1; one <= id; ++one) {
            control.on_end(one, completion::answered, now);
        }
        control.on_window(now);
    }
    EXPECT_GT(control.level(), 0);
    for (int window = 0; window < 10; ++window) {
        now += controller::window_length;
        control.on_window(now);
    }
    EXPECT_EQ(control.level(), 0);
}

// The last slots are given only once they are known to bring something; see fill_seeker.
TEST(controller, cold_target_gets_a_quarter_and_soon_nearly_all_slots) {
    controller control(100);
    EXPECT_EQ(control.limit(), 25);
    auto now = start;
    std::uint64_t id = 0;
    for (int window = 0; window < 3; ++window) {
        const auto first = id + 1;
        for (int i = 0; i < 100; ++i) {
            control.on_arrival({++id, 700, false, now + std::chrono::seconds(1)}, now);
        }
        now += controller::window_length;
        for (auto one = first; one <= id; ++one) {
            control.on_end(one, completion::answered, now);
        }
        control.on_window(now);
    }
    EXPECT_EQ(control.limit(), 94);
}

TEST(controller, shedding_target_lowers_the_limit_below_what_it_ran) {
    controller control(100);
    auto now = start;
    for (std::uint64_t id = 1; id <= 20; ++id) {
        control.on_arrival({id, 700, false, now + std::chrono::seconds(1)}, now);
    }
    control.on_end(20, completion::shed, now);
    EXPECT_LT(control.limit(), 20);
    EXPECT_GE(control.limit(), 15);
}
