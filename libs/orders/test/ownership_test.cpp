// Ownership over several epochs: which owners wait for a hand-over, and what ends the wait.

#include "lavenderhoist/orders/ownership.hpp"

#include <gtest/gtest.h>

using namespace lavenderhoist;
using namespace lavenderhoist::orders;

namespace {

constexpr ownership::bounds limits{milliseconds(20), milliseconds(100'000)};
constexpr milliseconds takeover_delay_length{2'100};
constexpr milliseconds wall{1'000'000};

const owner first{"a", 1};
const owner second{"b", 1};
const owner third{"c", 1};

assignment epoch_of(std::int64_t epoch, std::vector<owner> members) {
    return {epoch, std::move(members), takeover_delay_length};
}

/** Hands the table of `from` over to the members of `epoch` among `peers`, if it is allowed to. */
void hand_over(const ownership& from, std::int64_t epoch, std::initializer_list<ownership*> peers,
               time_point now) {
    const auto* const after = from.find(epoch);
    const auto* const before = from.find(epoch - 1);
    if (after == nullptr || before == nullptr || !before->contains(from.self())) {
        return;
    }
    const auto horizon = from.horizon_to_hand_over(epoch, now);
    if (!horizon) {
        return;
    }
    for (auto* const peer : peers) {
        if (after->contains(peer->self())) {
            peer->on_hand_over(epoch, from.self(), *horizon);
        }
    }
}

} // namespace

TEST(ownership, an_owner_that_missed_an_epoch_hands_over_for_it_as_well) {
    const time_point now{};
    ownership a(first, limits);
    ownership b(second, limits);
    ownership c(third, limits);
    const auto one = epoch_of(1, {first, second});
    const auto two = epoch_of(2, {second});
    const auto three = epoch_of(3, {second, third});
    for (const auto& known : {one, two, three}) {
        b.on_assignment(known, now, wall);
        c.on_assignment(known, now, wall);
    }
    // The first owner was disconnected: it reads the second and the third epoch at once.
    a.on_assignment(one, now, wall);
    a.on_assignment(two, now, wall);
    a.on_assignment(three, now, wall);

    for (const std::int64_t epoch : {2, 3}) {
        hand_over(a, epoch, {&b, &c}, now);
    }
    EXPECT_TRUE(b.horizon_to_hand_over(3, now))
        << "the second owner has no hand-over of the first one for epoch 2";
    hand_over(b, 3, {&a, &c}, now);
    EXPECT_TRUE(b.is_settled(now));
    EXPECT_TRUE(c.is_settled(now));
}

TEST(ownership, a_table_is_not_passed_on_before_its_earlier_owner_has_stopped) {
    const time_point now{};
    ownership b(second, limits);
    b.on_assignment(epoch_of(1, {first}), now, wall);
    b.on_assignment(epoch_of(2, {second}), now, wall);
    b.on_assignment(epoch_of(3, {third}), now, wall);
    EXPECT_FALSE(b.horizon_to_hand_over(3, now));
    EXPECT_TRUE(b.horizon_to_hand_over(3, now + takeover_delay_length));
    b.on_hand_over(2, first, milliseconds(0));
    EXPECT_TRUE(b.horizon_to_hand_over(3, now));
}

TEST(ownership, nothing_is_handed_over_across_an_epoch_that_is_not_known) {
    ownership a(first, limits);
    a.on_assignment(epoch_of(1, {first}), time_point{}, wall);
    a.on_assignment(epoch_of(3, {second}), time_point{}, wall);
    EXPECT_EQ(a.find(2), nullptr);
}
