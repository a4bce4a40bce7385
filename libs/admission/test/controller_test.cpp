// Compares the controller with a simple oracle: which requests run, which are queued, and that none
// is lost.

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

/** State of the oracle: every request that has neither ended nor been refused. */
struct oracle {
    time_point now{start};
    std::uint64_t next_id{1};
    std::set<std::uint64_t> running;
    std::map<std::uint64_t, request_info> waiting;
};

/** Checks each decision against the state of the oracle and applies it. */
void apply(oracle& state, const std::vector<decision>& decisions, const request_info* offered) {
    for (const auto& each : decisions) {
        const auto id = std::visit([](const auto& one) { return one.id; }, each);
        const bool is_offered = offered != nullptr && offered->id == id;
        RC_ASSERT(is_offered || state.waiting.contains(id));
        if (std::holds_alternative<queued>(each)) {
            state.waiting[id] = *offered;
            continue;
        }
        if (std::holds_alternative<admitted>(each)) {
            const auto request = is_offered ? *offered : state.waiting.at(id);
            RC_ASSERT(request.deadline > state.now);
            for (const auto& [other, queued_request] : state.waiting) {
                RC_ASSERT(other == id ||
                          rank_of(queued_request.importance) <= rank_of(request.importance) ||
                          queued_request.deadline <= state.now);
            }
            state.running.insert(id);
        }
        state.waiting.erase(id);
    }
}

// Guards against a limit that collapses: for ten seconds the target sheds half of its requests,
// whatever its load.
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

// The oracle's state depends on the decisions, so oracle and controller advance together step by
// step.
RC_GTEST_PROP(controller, decides_as_the_oracle_allows, ()) {
    oracle state;
    controller control(slots);
    const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1 << 20));
    for (const int step : steps) {
        const int kind = step % 8;
        const int number = step / 8;
        if (kind < 4) {
            const int rank = number % ranks;
            const request_info request{state.next_id++, rank * cohorts + number % cohorts,
                                       number % 3 == 0,
                                       state.now + std::chrono::milliseconds(number % 400)};
            apply(state, control.on_arrival(request, state.now), &request);
        } else if (kind == 4 && !state.running.empty()) {
            const auto id = *state.running.begin();
            state.running.erase(id);
            const auto how = number % 5 == 0 ? completion::shed : completion::answered;
            apply(state, control.on_end(id, how, state.now), nullptr);
        } else if (kind == 5 && !state.waiting.empty()) {
            const auto id = state.waiting.begin()->first;
            RC_ASSERT(control.on_cancel(id));
            state.waiting.erase(id);
        } else if (kind == 6) {
            state.now += std::chrono::milliseconds(number % 50);
        } else {
            apply(state, control.on_window(state.now), nullptr);
        }
        RC_ASSERT(control.in_flight() == static_cast<int>(state.running.size()));
        RC_ASSERT(control.waiting() == static_cast<int>(state.waiting.size()));
        RC_ASSERT(control.in_flight() <= slots);
        RC_ASSERT(control.waiting() == 0 || control.in_flight() >= control.limit());
    }
}

// With a rate limit that changes: no request is lost, none starts ahead of the limit, and none
// waits although both limits admit it.
RC_GTEST_PROP(controller, keeps_to_a_rate_limit_as_the_oracle_allows, ()) {
    oracle state;
    controller control(slots);
    rate_limiter expected;
    std::size_t running = 0;
    const auto advance = [&](const std::vector<decision>& decisions, const request_info* offered) {
        for (const auto& each : decisions) {
            if (std::holds_alternative<admitted>(each)) {
                RC_ASSERT(expected.can_start(state.now));
                expected.on_start(state.now);
                ++running;
            }
        }
        apply(state, decisions, offered);
    };
    const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1 << 20));
    for (const int step : steps) {
        const int kind = step % 8;
        const int number = step / 8;
        if (kind < 3) {
            const int rank = number % ranks;
            const request_info request{state.next_id++, rank * cohorts + number % cohorts,
                                       number % 3 == 0,
                                       state.now + std::chrono::milliseconds(number % 4'000)};
            advance(control.on_arrival(request, state.now), &request);
        } else if (kind == 3 && !state.running.empty()) {
            const auto id = *state.running.begin();
            state.running.erase(id);
            advance(control.on_end(id, completion::answered, state.now), nullptr);
        } else if (kind == 4 && !state.waiting.empty()) {
            const auto id = state.waiting.begin()->first;
            RC_ASSERT(control.on_cancel(id));
            state.waiting.erase(id);
        } else if (kind == 5) {
            const auto limit = number % 3 == 0 ? std::nullopt : std::optional(number % 97 / 2.0);
            expected.set(limit, state.now);
            advance(control.limit_rate(limit, state.now), nullptr);
        } else if (kind == 6) {
            state.now += std::chrono::milliseconds(number % 300);
            if (state.now >= control.next_rate_time()) {
                advance(control.on_rate_time(state.now), nullptr);
            }
        } else {
            advance(control.on_window(state.now), nullptr);
        }
        RC_ASSERT(control.in_flight() == static_cast<int>(state.running.size()));
        RC_ASSERT(control.waiting() == static_cast<int>(state.waiting.size()));
        RC_ASSERT(control.waiting() == 0 || control.in_flight() >= control.limit() ||
                  control.next_rate_time() > state.now);
    }
    RC_CLASSIFY(running > 10U);
}

// The load pattern: a target named a limit far below what its slots could do, and callers ask for
// three times the limit, orders first. What the limit allows is used, by the orders above all, and
// the level tells callers to send no more reads than there is room for.
TEST(controller, a_rate_limit_below_the_demand_is_used_and_raises_the_level) {
    controller control(100);
    control.assume_warm();
    control.limit_rate(60, start);
    auto now = start;
    std::uint64_t id = 0;
    std::map<time_point, std::vector<std::uint64_t>> ends;
    std::set<std::uint64_t> orders;
    int started = 0;
    int orders_started = 0;
    int orders_sent = 0;
    const auto count = [&](const std::vector<decision>& decisions) {
        for (const auto& each : decisions) {
            if (const auto* const run = std::get_if<admitted>(&each)) {
                ends[now + milliseconds(50)].push_back(run->id);
                const bool is_measured = now >= start + std::chrono::seconds(4);
                started += is_measured ? 1 : 0;
                orders_started += is_measured && orders.contains(run->id) ? 1 : 0;
            }
        }
    };
    for (int ms = 0; ms < 10'000; ++ms, now += milliseconds(1)) {
        while (!ends.empty() && ends.begin()->first <= now) {
            for (const auto ended : ends.begin()->second) {
                count(control.on_end(ended, completion::answered, now));
            }
            ends.erase(ends.begin());
        }
        if (now >= control.next_rate_time()) {
            count(control.on_rate_time(now));
        }
        if (ms % 100 == 0) {
            count(control.on_window(now));
        }
        const auto deadline = now + std::chrono::seconds(1);
        const int cohort = static_cast<int>(id * 37 % cohorts);
        if (ms % 25 == 0) { // 40 orders a second
            const request_info order{++id, 6 * cohorts + cohort, false, deadline};
            orders.insert(id);
            orders_sent += ms >= 4'000 ? 1 : 0;
            count(control.on_arrival(order, now));
        }
        const request_info read{++id, 2 * cohorts + cohort, false, deadline};
        if (ms % 7 == 0 && read.importance >= control.level()) { // 143 reads a second
            count(control.on_arrival(read, now));
        }
    }
    EXPECT_GE(started, 60 * 6 * 90 / 100);
    EXPECT_LE(started, 60 * 6 + 10);
    EXPECT_GE(orders_started, orders_sent * 95 / 100);
    EXPECT_GT(control.level(), 2 * cohorts);
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

// The last slots are used only after a trial has shown a higher throughput; see utilisation_tuner.
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
