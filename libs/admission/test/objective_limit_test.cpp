#include "lavenderhoist/admission/objective_limit.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <vector>

namespace lavenderhoist::admission {
namespace {

constexpr duration window = milliseconds(100);
constexpr duration objective = milliseconds(500);

/** A call chain whose deepest service ends `rate` requests per window, whatever is in flight. */
class bottleneck {
public:
    explicit bottleneck(int rate) : rate_(rate) {}

    /** One window with `arrivals` requests. \returns the number that ended within the objective. */
    int run(objective_limit& limit, int arrivals) {
        for (int i = 0; i < arrivals; ++i) {
            if (limit.can_start()) {
                limit.on_start(++last_, now_);
                waiting_.push_back({last_, now_});
            }
        }
        now_ += window;
        int in_time = 0;
        const auto ended = std::min<std::size_t>(static_cast<std::size_t>(rate_), waiting_.size());
        for (std::size_t i = 0; i < ended; ++i) {
            limit.on_end(waiting_[i].id, now_);
            in_time += now_ - waiting_[i].started_at <= objective ? 1 : 0;
        }
        waiting_.erase(waiting_.begin(), waiting_.begin() + static_cast<std::ptrdiff_t>(ended));
        limit.on_window(objective, now_);
        return in_time;
    }

private:
    struct entry {
        std::uint64_t id;
        time_point started_at;
    };
    int rate_;
    std::uint64_t last_{0};
    time_point now_{std::chrono::hours(1)};
    std::vector<entry> waiting_;
};

TEST(objective_limit, opens_to_all_slots_while_requests_end_in_time) {
    objective_limit limit(100, true);
    EXPECT_EQ(limit.value(), 25);
    bottleneck chain(1'000);
    for (int i = 0; i < 40; ++i) {
        chain.run(limit, 1'000);
    }
    EXPECT_EQ(limit.value(), 100);
}

// Load pattern: twice the capacity of the deepest service, for minutes. Without the limit all slots
// of the target are in use (200 / 10 per window = 2 s per request) and every request is late.
TEST(objective_limit, keeps_requests_in_time_behind_an_overloaded_service) {
    objective_limit limit(200, false);
    bottleneck chain(10);
    int in_time = 0;
    for (int i = 0; i < 300; ++i) {
        const int ended = chain.run(limit, 20);
        in_time += i >= 100 ? ended : 0;
    }
    EXPECT_GE(in_time, 200 * 10 * 85 / 100);
}

// Load pattern: few requests per window, far below the slots; one in twenty is late at any load.
TEST(objective_limit, single_late_requests_do_not_lower_it) {
    objective_limit limit(60, false);
    time_point now{std::chrono::hours(1)};
    std::uint64_t id = 0;
    int refused = 0;
    for (int i = 0; i < 600; ++i) {
        for (int n = 0; n < 5; ++n) {
            refused += limit.can_start() ? 0 : 1;
            ++id;
            limit.on_start(id, now);
            const bool is_late = id % 20 == 0;
            limit.on_end(id, is_late ? now + objective * 2 : now + objective / 3);
        }
        now += window;
        limit.on_window(objective, now);
    }
    EXPECT_EQ(refused, 0);
    EXPECT_EQ(limit.value(), 60);
}

TEST(objective_limit, recovers_when_the_cause_has_passed) {
    objective_limit limit(200, false);
    bottleneck slow(2);
    for (int i = 0; i < 100; ++i) {
        slow.run(limit, 20);
    }
    bottleneck fast(1'000);
    int windows = 0;
    while (limit.value() < 40 && windows < 1'000) {
        fast.run(limit, 60);
        ++windows;
    }
    EXPECT_LE(windows, 40);
}

TEST(objective_limit, stays_within_its_bounds) {
    const bool holds = rc::check([] {
        const int slots = *rc::gen::inRange(1, 300);
        objective_limit limit(slots, *rc::gen::arbitrary<bool>());
        bottleneck chain(*rc::gen::inRange(0, 50));
        for (int i = 0; i < 60; ++i) {
            chain.run(limit, *rc::gen::inRange(0, 80));
            RC_ASSERT(limit.value() >= 1);
            RC_ASSERT(limit.value() <= std::max(2, slots));
        }
    });
    EXPECT_TRUE(holds);
}

} // namespace
} // namespace lavenderhoist::admission
