// The guaranteed share against plain sums of what was asked, served and let in.

#include "lavenderhoist/admission/guaranteed_share.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>
#include <random>
#include <string>

namespace lavenderhoist::admission {
namespace {

constexpr double most_saved = 4;
constexpr std::array<const char*, 3> classes{"orders", "advice", "reads"};

/** Sums of one class. */
struct sums {
    double asked{0};
    double let_in{0};
};

} // namespace

RC_GTEST_PROP(guaranteed_share, lets_in_no_more_than_its_share_of_each_class_and_of_all, ()) {
    guaranteed_share subject;
    std::array<sums, classes.size()> of_class;
    double served = 0;
    double let_in = 0;
    const auto steps = *rc::gen::container<std::vector<int>>(2'000, rc::gen::inRange(0, 1 << 16));
    for (const int step : steps) {
        const auto index = static_cast<std::size_t>(step / 8) % classes.size();
        const std::string name = classes.at(index);
        subject.on_request(name);
        of_class.at(index).asked += 1;
        const bool is_refused = step % 8 < 6;
        const bool is_guaranteed = is_refused && subject.try_take(name);
        of_class.at(index).let_in += is_guaranteed ? 1 : 0;
        let_in += is_guaranteed ? 1 : 0;
        if (!is_refused || (is_guaranteed && step % 5 != 0)) {
            subject.on_served(name, is_guaranteed);
            served += 1;
        }
        const double share = guaranteed_share::share;
        RC_ASSERT(of_class.at(index).let_in <= of_class.at(index).asked * share + most_saved);
        RC_ASSERT(let_in <= served * share + most_saved + 1);
    }
}

// The load pattern: a third of the scarcest service has left, the orders alone fill the rest, and
// reads ask twice as much as is served.
TEST(guaranteed_share, class_that_is_refused_as_a_whole_gets_its_share) {
    guaranteed_share subject;
    int let_in = 0;
    constexpr int rounds = 2'000;
    for (int i = 0; i < rounds; ++i) {
        subject.on_request("orders");
        subject.on_served("orders", false);
        subject.on_request("reads");
        if (subject.try_take("reads")) {
            ++let_in;
            subject.on_served("reads", true);
        }
    }
    EXPECT_GE(let_in, rounds * guaranteed_share::share * 0.95);
}

TEST(guaranteed_share, class_that_is_served_its_share_anyhow_gets_no_more) {
    guaranteed_share subject;
    int let_in = 0;
    for (int i = 0; i < 2'000; ++i) {
        subject.on_request("reads");
        if (i % 4 == 0) {
            subject.on_served("reads", false);
        } else {
            let_in += subject.try_take("reads") ? 1 : 0;
        }
    }
    EXPECT_LE(let_in, 2);
}

// The load pattern: a class is served a fifth of what it asks, in no regular order, and the lowest
// one nothing.
TEST(guaranteed_share, class_that_is_served_more_takes_nothing_from_one_that_is_not) {
    guaranteed_share subject;
    std::mt19937 random(1);
    int orders_let_in = 0;
    int reads_let_in = 0;
    constexpr int rounds = 10'000;
    constexpr double reads = rounds * 0.1;
    for (int i = 0; i < rounds; ++i) {
        subject.on_request("orders");
        if (random() % 5 == 0) {
            subject.on_served("orders", false);
        } else {
            orders_let_in += subject.try_take("orders") ? 1 : 0;
        }
        if (i % 10 == 0) {
            subject.on_request("reads");
            reads_let_in += subject.try_take("reads") ? 1 : 0;
        }
    }
    EXPECT_LE(orders_let_in, rounds / 500);
    EXPECT_GE(reads_let_in, reads * guaranteed_share::share * 0.95);
}

// The load pattern: callers of the lowest class ask ten times as often as usual.
TEST(guaranteed_share, class_that_asks_ever_more_takes_no_more_than_a_share_of_what_is_served) {
    guaranteed_share subject;
    double let_in = 0;
    double orders = 0;
    for (int i = 0; i < 1'000; ++i) {
        subject.on_request("orders");
        subject.on_served("orders", false);
        ++orders;
        for (int n = 0; n < 20; ++n) {
            subject.on_request("reads");
            if (subject.try_take("reads")) {
                ++let_in;
                subject.on_served("reads", true);
            }
        }
    }
    EXPECT_LE(let_in, (orders + let_in) * guaranteed_share::share + most_saved + 1);
}

} // namespace lavenderhoist::admission
