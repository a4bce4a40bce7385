// Load pattern: a target starts under more requests than it can finish and is slow for three
// seconds after its start.

#include "lavenderhoist/admission.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <random>
#include <variant>
#include <vector>

namespace lavenderhoist::admission {
namespace {

constexpr time_point start{std::chrono::hours(1)};
constexpr int slots = 80;
constexpr double work_ms = 100;
constexpr double cold_speed = 0.5;
constexpr auto cold_time = std::chrono::seconds(3);
constexpr auto run_time = std::chrono::seconds(5);

/** Time after which the ramp should have settled: four service times of a cold target. */
constexpr auto settling_time = std::chrono::milliseconds(800);

/** The page's target: a started target is as busy as the next one of its service. */
constexpr double min_used_share = 0.85;

struct measured {
    double mean_cold_ms{0};             ///< Time in a slot in the cold phase, once settled.
    double cold_rate{0};                ///< Requests finished per second in the same time.
    int limit_when_cold{0};             ///< At the end of the cold phase.
    duration full_after{run_time};      ///< From the start until nearly all slots may be used.
    duration full_after_cold{run_time}; ///< The same from the end of the cold phase.
};

/**
 * A target behind a controller. It shares its processor: beyond `cold_parallel` requests at once in
 * the cold phase, and beyond its slots later, each one takes longer in proportion.
 */
class started_target {
public:
    explicit started_target(int cold_parallel) : cold_parallel_(cold_parallel) {
        control_.on_restart(cold_time);
    }

    measured run() {
        std::poisson_distribution<int> arrivals(slots / work_ms * 1.5);
        for (auto now = start; now < start + run_time; now += milliseconds(1)) {
            advance(now);
            for (int i = arrivals(random_); i > 0; --i) {
                apply(control_.on_arrival({++last_id_, 700, true, now + std::chrono::seconds(2)},
                                          now),
                      now);
            }
            if ((now - start) % controller::window_length == duration(0)) {
                apply(control_.on_window(now), now);
            }
            record(now);
        }
        result_.mean_cold_ms /= std::max(1, settled_answers_);
        result_.cold_rate =
            settled_answers_ / std::chrono::duration<double>(cold_time - settling_time).count();
        return result_;
    }

private:
    struct running {
        std::uint64_t id;
        time_point started_at;
        double left_ms;
    };

    static bool is_cold(time_point now) { return now < start + cold_time; }

    void record(time_point now) {
        const bool is_full = control_.limit() >= slots * 9 / 10;
        if (is_cold(now)) {
            result_.limit_when_cold = control_.limit();
        } else if (is_full) {
            result_.full_after_cold =
                std::min<duration>(result_.full_after_cold, now - start - cold_time);
        }
        if (is_full) {
            result_.full_after = std::min(result_.full_after, now - start);
        }
    }

    void advance(time_point now) {
        const auto parallel = static_cast<double>(is_cold(now) ? cold_parallel_ : slots);
        const double speed = (is_cold(now) ? cold_speed : 1) *
                             std::min(1.0, parallel / static_cast<double>(running_.size() + 1));
        std::vector<running> done;
        for (auto& each : running_) {
            each.left_ms -= speed;
            if (each.left_ms <= 0) {
                done.push_back(each);
            }
        }
        std::erase_if(running_, [](const running& each) { return each.left_ms <= 0; });
        for (const auto& each : done) {
            if (is_cold(now) && now >= start + settling_time) {
                result_.mean_cold_ms +=
                    std::chrono::duration<double, std::milli>(now - each.started_at).count();
                ++settled_answers_;
            }
            apply(control_.on_end(each.id, completion::answered, now), now);
        }
    }

    void apply(const std::vector<decision>& decisions, time_point now) {
        std::gamma_distribution<double> spread(4, 0.25); // mean 1, deviation 0.5
        for (const auto& each : decisions) {
            if (const auto* const run = std::get_if<admitted>(&each)) {
                running_.push_back({run->id, now, work_ms * spread(random_)});
            }
        }
    }

    int cold_parallel_;
    controller control_{slots};
    std::mt19937 random_{20261207};
    std::vector<running> running_;
    std::uint64_t last_id_{0};
    int settled_answers_{0};
    measured result_;
};

void record_figures(const measured& found) {
    const auto ms = [](duration time) {
        return static_cast<int>(std::chrono::duration<double, std::milli>(time).count());
    };
    testing::Test::RecordProperty("mean_cold_ms", static_cast<int>(found.mean_cold_ms));
    testing::Test::RecordProperty("cold_rate", static_cast<int>(found.cold_rate));
    testing::Test::RecordProperty("limit_when_cold", found.limit_when_cold);
    testing::Test::RecordProperty("full_after_ms", ms(found.full_after));
    testing::Test::RecordProperty("full_after_cold_ms", ms(found.full_after_cold));
}

} // namespace

// Guards against a limit that rises whatever the response times: in its cold phase the target runs
// half of its slots at once, and more only make every request late.
TEST(ramp_up, a_cold_target_is_not_given_more_than_it_runs_at_once) {
    const auto found = started_target(slots / 2).run();
    record_figures(found);
    // Response times may grow by half before the limit falls; see ramp_up.
    EXPECT_LE(found.mean_cold_ms, work_ms / cold_speed * 1.5);
    EXPECT_GE(found.cold_rate, min_used_share * slots / 2 * cold_speed / work_ms * 1'000);
    EXPECT_LE(found.full_after_cold, std::chrono::seconds(1));
}

// Guards against a target that is held back although only its cold phase makes it slow.
TEST(ramp_up, a_target_that_is_slow_at_any_limit_gets_all_its_slots) {
    const auto found = started_target(slots).run();
    record_figures(found);
    EXPECT_LE(found.full_after, std::chrono::milliseconds(1'200));
    EXPECT_GE(found.cold_rate, min_used_share * slots * cold_speed / work_ms * 1'000);
}

// Guards against a rise by time alone, before the first answer of a slow target.
TEST(ramp_up, without_answers_the_limit_does_not_rise) {
    controller control(slots);
    control.on_restart(cold_time);
    auto now = start;
    const int before = control.limit();
    for (std::uint64_t id = 1; id <= slots; ++id) {
        control.on_arrival({id, 700, true, now + std::chrono::seconds(10)}, now);
    }
    for (int window = 0; window < 5; ++window) {
        now += controller::window_length;
        control.on_window(now);
    }
    EXPECT_EQ(control.limit(), before);
}

// Guards against a target that stays idle while a service that it calls slows down: the growth does
// not depend on its limit.
TEST(ramp_up, a_growth_with_another_cause_does_not_hold_the_limit_back) {
    ramp_up ramp(slots);
    int answers = 0;
    for (; answers < 20 * slots && !ramp.is_done(); ++answers) {
        const auto time = answers < slots ? milliseconds(100) : milliseconds(300);
        ramp.on_answered(time, static_cast<int>(ramp.limit()));
    }
    RecordProperty("answers", answers);
    EXPECT_TRUE(ramp.is_done());
}

// Guards against a rise that nobody asked for: a target with little work has shown nothing about
// more.
TEST(ramp_up, an_unused_limit_does_not_rise) {
    ramp_up ramp(slots);
    const double before = ramp.limit();
    for (int i = 0; i < 10 * slots; ++i) {
        ramp.on_answered(milliseconds(100), 1);
    }
    EXPECT_EQ(ramp.limit(), before);
}

RC_GTEST_PROP(ramp_up, the_limit_stays_within_the_slots,
              (const std::vector<std::uint16_t>& times)) {
    const int count = *rc::gen::inRange(1, 300);
    ramp_up ramp(count);
    for (const auto time : times) {
        ramp.on_answered(milliseconds(time), static_cast<int>(ramp.limit()));
        RC_ASSERT(ramp.limit() >= 1);
        RC_ASSERT(ramp.limit() <= count);
    }
}

} // namespace lavenderhoist::admission
