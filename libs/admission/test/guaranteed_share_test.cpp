// Compares the guaranteed share with plain sums of the requests that arrived, were served and were
// admitted under the guarantee.

#include "lavenderhoist/admission/guaranteed_share.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>
#include <random>
#include <string>

namespace lavenderhoist::admission {
namespace {

constexpr double max_balance = 4;
constexpr std::array<const char*, 3> classes{"orders", "advice", "reads"};

/** Sums over the requests of one class. */
struct sums {
    double requested{0};
    double admitted{0};
};

} // namespace

RC_GTEST_PROP(guaranteed_share, lets_in_no_more_than_its_share_of_each_class_and_of_all, ()) {
    guaranteed_share subject;
    std::array<sums, classes.size()> of_class;
    double served = 0;
    double admitted = 0;
    const auto steps = *rc::gen::container<std::vector<int>>(2'000, rc::gen::inRange(0, 1 << 16));
    for (const int step : steps) {
        const auto index = static_cast<std::size_t>(step / 8) % classes.size();
        const std::string name = classes.at(index);
        subject.on_request(name);
        of_class.at(index).requested += 1;
        const bool is_refused = step % 8 < 6;
        const bool is_guaranteed = is_refused && subject.try_take(name);
        of_class.at(index).admitted += is_guaranteed ? 1 : 0;
        admitted += is_guaranteed ? 1 : 0;
        if (!is_refused || (is_guaranteed && step % 5 != 0)) {
            subject.on_served(name, is_guaranteed);
            served += 1;
        }
        const double share = guaranteed_share::share;
        RC_ASSERT(of_class.at(index).admitted <=
                  of_class.at(index).requested * share + max_balance);
        RC_ASSERT(admitted <= served * share + max_balance + 1);
    }
}

// Guards against starvation of a class: a third of the targets of the scarcest service has left,
// the orders alone use the remaining capacity, and reads arrive at twice the rate that is served.
TEST(guaranteed_share, class_that_is_refused_as_a_whole_gets_its_share) {
    guaranteed_share subject;
    int admitted = 0;
    constexpr int rounds = 2'000;
    for (int i = 0; i < rounds; ++i) {
        subject.on_request("orders");
        subject.on_served("orders", false);
        subject.on_request("reads");
        if (subject.try_take("reads")) {
            ++admitted;
            subject.on_served("reads", true);
        }
    }
    EXPECT_GE(admitted, rounds * guaranteed_share::share * 0.95);
}

TEST(guaranteed_share, class_that_is_served_its_share_anyhow_gets_no_more) {
    guaranteed_share subject;
    int admitted = 0;
    for (int i = 0; i < 2'000; ++i) {
        subject.on_request("reads");
        if (i % 4 == 0) {
            subject.on_served("reads", false);
        } else {
            admitted += subject.try_take("reads") ? 1 : 0;
        }
    }
    EXPECT_LE(admitted, 2);
}

// Guards against claims by a class that is served more than its share: a fifth of the requests of
// one class are served, in random order, and none of the lowest class.
TEST(guaranteed_share, class_that_is_served_more_takes_nothing_from_one_that_is_not) {
    guaranteed_share subject;
    std::mt19937 random(1);
    int admitted_orders = 0;
    int admitted_reads = 0;
    constexpr int rounds = 10'000;
    constexpr double reads = rounds * 0.1;
    for (int i = 0; i < rounds; ++i) {
        subject.on_request("orders");
        if (random() % 5 == 0) {
            subject.on_served("orders", false);
        } else {
            admitted_orders += subject.try_take("orders") ? 1 : 0;
        }
        if (i % 10 == 0) {
            subject.on_request("reads");
            admitted_reads += subject.try_take("reads") ? 1 : 0;
        }
    }
    EXPECT_LE(admitted_orders, rounds / 500);
    EXPECT_GE(admitted_reads, reads * guaranteed_share::share * 0.95);
}

// Load pattern: callers of the lowest class send ten times as many requests as usual.
TEST(guaranteed_share, class_that_asks_ever_more_takes_no_more_than_a_share_of_what_is_served) {
    guaranteed_share subject;
    double admitted = 0;
    double orders = 0;
    for (int i = 0; i < 1'000; ++i) {
        subject.on_request("orders");
        subject.on_served("orders", false);
        ++orders;
        for (int n = 0; n < 20; ++n) {
            subject.on_request("reads");
            if (subject.try_take("reads")) {
                ++admitted;
                subject.on_served("reads", true);
            }
        }
    }
    EXPECT_LE(admitted, (orders + admitted) * guaranteed_share::share + max_balance + 1);
}

// Load pattern: the service that "reads" and "orders" call can serve few of them, while uploads,
// which don't call it, are all served. The guarantee of the reads then took all of what was left.
TEST(guaranteed_share, requests_that_do_not_use_the_scarce_service_give_no_claim_to_it) {
    guaranteed_share subject;
    double admitted = 0;
    double orders = 0;
    for (int i = 0; i < 1'000; ++i) {
        subject.on_request("uploads");
        subject.on_served("uploads", false, false);
        if (i % 10 == 0) {
            subject.on_request("orders");
            subject.on_served("orders", false);
            ++orders;
        }
        for (int n = 0; n < 5; ++n) {
            subject.on_request("reads");
            if (subject.try_take("reads")) {
                ++admitted;
                subject.on_served("reads", true);
            }
        }
    }
    EXPECT_LE(admitted, (orders + admitted) * guaranteed_share::share + max_balance + 1);
}

} // namespace lavenderhoist::admission
