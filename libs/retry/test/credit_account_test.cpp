#include "lavenderhoist/retry.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <vector>

using namespace lavenderhoist;
using namespace lavenderhoist::retry;

// A call tree whose accounts spend, split and refund credits in any order: the retries of the whole
// tree never exceed the grant, nor does the balance of the root.
RC_GTEST_PROP(credit_account, tree_never_spends_more_than_the_grant,
              (const std::vector<int>& steps)) {
    const int grant = *rc::gen::inRange(0, 11);
    struct call_node {
        credit_account account;
        int taken;
        std::size_t parent;
        bool is_open;
    };
    std::vector<call_node> tree{{credit_account(grant), 0, 0, true}};
    int spent = 0;
    for (const int step : steps) {
        const auto number = static_cast<unsigned>(step);
        const auto index = number / 4 % tree.size();
        if (!tree[index].is_open) {
            continue;
        }
        switch (number % 4) {
        case 0:
            spent += tree[index].account.try_spend() ? 1 : 0;
            break;
        case 1:
        case 2: {
            const int share = tree[index].account.split_for_call();
            tree.push_back({credit_account(share), share, index, true});
            break;
        }
        default:
            if (index != 0) {
                tree[tree[index].parent].account.refund(tree[index].account.balance(),
                                                        tree[index].taken);
                tree[index].is_open = false;
            }
        }
        RC_ASSERT(spent <= grant);
        RC_ASSERT(tree[0].account.balance() <= grant);
    }
}

TEST(credit_account, chain_is_bounded_by_the_grant_at_any_depth) {
    constexpr int grant = 3;
    std::vector<credit_account> chain{credit_account(grant)};
    for (int depth = 0; depth < 15; ++depth) {
        const int share = chain.back().split_for_call();
        chain.emplace_back(share);
    }
    int retries = 0;
    for (auto& account : chain) {
        while (account.try_spend()) {
            ++retries;
        }
    }
    EXPECT_EQ(retries, grant);
}

TEST(credit_account, refund_above_the_carried_credits_is_limited) {
    credit_account account(4);
    const int taken = account.split_for_call();
    account.refund(100, taken);
    EXPECT_EQ(account.balance(), 4);
    account.refund(-5, 0);
    EXPECT_EQ(account.balance(), 4);
}

TEST(retry_budget, allows_a_tenth_of_the_successes) {
    retry_budget budget;
    int allowed = 0;
    while (budget.try_withdraw()) {
        ++allowed;
    }
    EXPECT_EQ(allowed, 10);
    for (int i = 0; i < 100; ++i) {
        budget.on_success();
    }
    allowed = 0;
    while (budget.try_withdraw()) {
        ++allowed;
    }
    EXPECT_GE(allowed, 9);
    EXPECT_LE(allowed, 10);
}

TEST(retry_after, spreads_callers_over_as_much_again) {
    constexpr duration base = std::chrono::seconds(1);
    duration min_delay = std::chrono::hours(1);
    duration max_delay{0};
    for (std::uint64_t i = 0; i < 1'000; ++i) {
        const auto delay = spread_retry_after(base, i);
        min_delay = std::min(min_delay, delay);
        max_delay = std::max(max_delay, delay);
    }
    EXPECT_GE(min_delay, base);
    EXPECT_LT(max_delay, base * 2);
    EXPECT_GT(max_delay - min_delay, base / 2);
}
