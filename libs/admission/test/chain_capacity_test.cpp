// Replays a service that sheds half of its calls at any load, below a service whose runs make four
// of them: runs begin until they fail, as long as the level and the retries let them.

#include "lavenderhoist/admission/chain_capacity.hpp"

#include <gtest/gtest.h>

#include <random>

namespace lavenderhoist::admission {
namespace {

constexpr int calls_per_run = 4;
constexpr int windows_per_second = 10;
constexpr int max_attempts = 8;
constexpr int important_rank = 7;
constexpr int other_rank = 5;

struct load {
    int important_runs_per_window{20};
    int other_runs_per_window{20};
    double retries_per_second{250};
};

struct outcome {
    int begun{0};
    int completed{0};
    int important_begun{0};
    int important_completed{0};
    int retries{0};
};

class replay {
public:
    outcome run(const load& given, double shed_share, int windows) {
        outcome result;
        for (int i = 0; i < windows; ++i) {
            for (int each = 0; each < given.important_runs_per_window; ++each) {
                offer(important_rank, shed_share, result);
            }
            for (int each = 0; each < given.other_runs_per_window; ++each) {
                offer(other_rank, shed_share, result);
            }
            capacity_.on_window(given.retries_per_second);
        }
        return result;
    }

    const chain_capacity& capacity() const noexcept { return capacity_; }

private:
    void offer(int rank, double shed_share, outcome& result) {
        const auto importance = make_priority(rank, random_());
        if (importance < capacity_.level()) {
            return; // refused by its entry
        }
        const bool is_important = rank == important_rank;
        ++result.begun;
        result.important_begun += is_important ? 1 : 0;
        capacity_.on_run(importance);
        for (int call = 0; call < calls_per_run; ++call) {
            if (!try_call(importance, call, shed_share, result)) {
                return;
            }
        }
        capacity_.on_run_completed(calls_per_run);
        ++result.completed;
        result.important_completed += is_important ? 1 : 0;
    }

    bool try_call(priority importance, int completed, double shed_share, outcome& result) {
        std::bernoulli_distribution is_shed(shed_share);
        for (int attempt = 1;; ++attempt) {
            const bool shed = is_shed(random_);
            capacity_.on_attempt(shed);
            if (!shed) {
                return true;
            }
            if (attempt == max_attempts || !capacity_.try_take_retry(importance, completed)) {
                return false;
            }
            ++result.retries;
        }
    }

    std::mt19937_64 random_{20261207};
    chain_capacity capacity_;
};

constexpr double none_shed = 0;
constexpr double half_shed = 0.55;

/** Retries for a run of four calls of which 55 in 100 are shed. */
constexpr double retries_per_run = calls_per_run * half_shed / (1 - half_shed);

} // namespace

// Without the limit, such runs complete 4 times in 100.
TEST(chain_capacity, most_begun_runs_complete_while_half_of_the_calls_are_shed) {
    replay of;
    const load given;
    of.run(given, none_shed, 2 * windows_per_second);
    of.run(given, half_shed, windows_per_second);
    const auto result = of.run(given, half_shed, 5 * windows_per_second);
    EXPECT_GE(result.completed, result.begun * 0.75);
    EXPECT_GE(result.completed, 0.8 * 5 * given.retries_per_second / retries_per_run);
}

TEST(chain_capacity, important_runs_come_first) {
    replay of;
    const load given;
    of.run(given, none_shed, 2 * windows_per_second);
    of.run(given, half_shed, windows_per_second);
    const auto result = of.run(given, half_shed, 5 * windows_per_second);
    EXPECT_GE(result.important_completed, 0.95 * result.completed);
}

TEST(chain_capacity, spends_no_more_retries_than_allowed) {
    replay of;
    const load given;
    of.run(given, none_shed, 2 * windows_per_second);
    const auto result = of.run(given, half_shed, 8 * windows_per_second);
    // A window passes before the shedding is noticed.
    const double noticing = given.important_runs_per_window + given.other_runs_per_window;
    EXPECT_LE(result.retries, 8.5 * given.retries_per_second + noticing * retries_per_run);
}

TEST(chain_capacity, acts_within_a_second_and_ends_within_two) {
    replay of;
    const load given;
    of.run(given, none_shed, 2 * windows_per_second);
    EXPECT_EQ(of.capacity().level(), open_level);
    of.run(given, half_shed, windows_per_second);
    EXPECT_GT(of.capacity().level(), make_priority(other_rank, 0));
    of.run(given, half_shed, 8 * windows_per_second);
    of.run(given, none_shed, 2 * windows_per_second);
    EXPECT_EQ(of.capacity().level(), open_level);
}

// A node that has just started has completed no run yet.
TEST(chain_capacity, refuses_nothing_before_a_run_has_completed) {
    chain_capacity capacity;
    for (int i = 0; i < 1'000; ++i) {
        capacity.on_run(make_priority(other_rank, 0));
        capacity.on_attempt(true);
        capacity.on_window(0);
    }
    EXPECT_EQ(capacity.level(), open_level);
    EXPECT_TRUE(capacity.try_take_retry(open_level, 0));
}

TEST(chain_capacity, a_few_shed_calls_limit_nothing) {
    replay of;
    const auto result = of.run({}, 0.03, 5 * windows_per_second);
    EXPECT_FALSE(of.capacity().runs_per_second());
    EXPECT_EQ(result.begun, 5 * windows_per_second * 40);
}

} // namespace lavenderhoist::admission
