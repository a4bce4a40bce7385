// The load pattern: half as many requests again as a target can work on, for half a minute, while
// the target slows down above some share of its slots.

#include "lavenderhoist/admission.hpp"

#include <gtest/gtest.h>

#include <cmath>
#include <queue>
#include <random>

namespace lavenderhoist::admission {
namespace {

constexpr time_point start{std::chrono::hours(1)};
constexpr milliseconds work{86};
constexpr duration length = std::chrono::seconds(30);
constexpr duration patience = std::chrono::milliseconds(700);

/** A target that has just started takes twice as long for so long. */
constexpr duration cold_time = std::chrono::seconds(3);
constexpr double cold_slowdown = 2;

/** The shares that are tried lie six hundredths apart, and trials cost two more. */
constexpr double least_share = 0.92;

/** Above `knee` of its slots, a target works `slowdown` times as long on each request. */
struct target_kind {
    int slots;
    double knee;
    double slowdown;
    bool cold{false}; ///< It has just started.
};

/** Finished requests a second at the best constant number of requests at once. */
double best_rate(const target_kind& target) {
    const double below = std::floor(target.slots * target.knee);
    const double above = target.slots / target.slowdown;
    return std::max(below, above) / std::chrono::duration<double>(work).count();
}

/** A target under more load than it can carry, behind a controller. */
class overloaded_target {
public:
    overloaded_target(const target_kind& kind, unsigned seed)
        : kind_(kind), control_(kind.slots), random_(seed) {
        if (kind.cold) {
            control_.on_restart(cold_time);
        } else {
            control_.assume_warm();
        }
    }

    /** Finished requests a second, once it is warm. */
    double run() {
        const double per_ms = best_rate(kind_) * 1.5 / 1'000;
        std::poisson_distribution<int> arrivals(per_ms);
        const auto end = start + length;
        for (auto now = start; now < end; now += milliseconds(1)) {
            finish_due(now);
            for (int i = arrivals(random_); i > 0; --i) {
                follow(control_.on_arrival({++last_id_, 700, true, now + patience}, now), now);
            }
            if ((now - start) % controller::window_length == duration(0)) {
                follow(control_.on_window(now), now);
            }
        }
        return finished_ / std::chrono::duration<double>(length - cold_for()).count();
    }

private:
    struct running {
        time_point end;
        std::uint64_t id;
        bool operator>(const running& other) const { return end > other.end; }
    };

    duration cold_for() const { return kind_.cold ? cold_time : duration(0); }

    void follow(const std::vector<decision>& decisions, time_point now) {
        for (const auto& each : decisions) {
            if (const auto* const run = std::get_if<admitted>(&each)) {
                begin(run->id, now);
            }
        }
    }

    void begin(std::uint64_t id, time_point now) {
        const bool is_slow = static_cast<double>(running_.size()) + 1 > kind_.slots * kind_.knee;
        std::gamma_distribution<double> spread(4, 0.25); // mean 1, deviation 0.5
        const bool is_cold = now < start + cold_for();
        const auto time =
            work * spread(random_) * (is_slow ? kind_.slowdown : 1) * (is_cold ? cold_slowdown : 1);
        running_.push({now + std::chrono::duration_cast<duration>(time), id});
    }

    void finish_due(time_point now) {
        while (!running_.empty() && running_.top().end <= now) {
            const auto done = running_.top();
            running_.pop();
            finished_ += done.end >= start + cold_for() ? 1 : 0;
            follow(control_.on_end(done.id, completion::answered, now), now);
        }
    }

    target_kind kind_;
    controller control_;
    std::mt19937 random_;
    std::priority_queue<running, std::vector<running>, std::greater<>> running_;
    std::uint64_t last_id_{0};
    double finished_{0};
};

class fill_of : public testing::TestWithParam<target_kind> {};

} // namespace

TEST_P(fill_of, target_under_overload_finishes_nearly_the_most_it_can) {
    for (unsigned seed = 1; seed <= 2; ++seed) {
        const double rate = overloaded_target(GetParam(), seed).run();
        EXPECT_GT(rate, best_rate(GetParam()) * least_share) << "seed " << seed;
    }
}

INSTANTIATE_TEST_SUITE_P(targets, fill_of,
                         testing::Values(target_kind{223, 0.95, 1.3}, target_kind{57, 0.95, 1.3},
                                         target_kind{26, 0.95, 1.3}, target_kind{223, 1, 1},
                                         target_kind{57, 1, 1}, target_kind{223, 0.85, 1.5},
                                         target_kind{8, 1, 1}));

// The load pattern: all hosts return from a loss of power under full load, so that the first shares
// are tried while the target is cold, and look worse than they are.
INSTANTIATE_TEST_SUITE_P(cold_targets, fill_of,
                         testing::Values(target_kind{57, 0.95, 1.3, true},
                                         target_kind{223, 0.95, 1.3, true},
                                         target_kind{57, 1, 1, true}));

TEST(utilisation_tuner, tries_nothing_while_there_is_room) {
    utilisation_tuner seeker;
    const int bound = seeker.bound(100);
    for (int window = 0; window < 1'000; ++window) {
        seeker.on_window(50, false);
        EXPECT_EQ(seeker.bound(100), bound);
    }
}

TEST(utilisation_tuner, leaves_few_slots_alone) {
    EXPECT_EQ(utilisation_tuner().bound(8), 8);
}

} // namespace lavenderhoist::admission
