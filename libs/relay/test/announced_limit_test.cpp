// Compares the limit in force with what a target that answers in its own order has said.

#include "lavenderhoist/relay/announced_limit.hpp"

#include "lavenderhoist/relay/target_notice.hpp"
#include "lavenderhoist/relay/wire_names.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

namespace lavenderhoist::relay {
namespace {

constexpr time_point start{std::chrono::hours(1)};
const target_notice nothing{};

target_notice limit_of(double per_second) {
    target_notice notice;
    notice.rate_limit = per_second;
    return notice;
}

/** An answer in flight: made by the target at a time, on a connection of its own. */
struct answer {
    target_notice notice;
    time_point sent_at;
    time_point made_at;
    time_point arrives_at;
};

} // namespace

TEST(announced_limit, an_answer_that_was_overtaken_does_not_lift_it) {
    announced_limit limit;
    limit.on_answer(limit_of(20), start, start + milliseconds(90));
    limit.on_answer(nothing, start + milliseconds(80), start + milliseconds(95));
    EXPECT_EQ(limit.per_second(), 20.0);
}

TEST(announced_limit, a_later_answer_without_it_lifts_it) {
    announced_limit limit;
    limit.on_answer(limit_of(20), start, start + milliseconds(90));
    limit.on_answer(nothing, start + milliseconds(91), start + milliseconds(120));
    EXPECT_EQ(limit.per_second(), std::nullopt);
}

TEST(announced_limit, a_malformed_one_neither_sets_nor_lifts_it) {
    announced_limit limit;
    target_notice malformed;
    malformed.has_malformed_rate = true;
    limit.on_answer(malformed, start, start);
    EXPECT_EQ(limit.per_second(), std::nullopt);
    limit.on_answer(limit_of(20), start, start);
    limit.on_answer(malformed, start + milliseconds(10), start + milliseconds(20));
    EXPECT_EQ(limit.per_second(), 20.0);
}

// A restarted node hears of the limit with the first request of a node that knows it.
TEST(announced_limit, hints_count_until_the_target_has_answered) {
    announced_limit limit;
    limit.on_hint(30);
    limit.on_hint(40);
    EXPECT_EQ(limit.per_second(), 30.0);
    limit.on_answer(nothing, start, start + milliseconds(1));
    EXPECT_EQ(limit.per_second(), std::nullopt);
    limit.on_hint(30);
    EXPECT_EQ(limit.per_second(), std::nullopt);
}

// The target names limits and stops to name them, while its answers overtake each other. A limit
// that arrives is in force; once all older answers have arrived, its last word is.
RC_GTEST_PROP(announced_limit, at_rest_it_is_the_last_word_of_the_target, ()) {
    announced_limit limit;
    std::vector<answer> answers;
    auto now = start;
    target_notice said;
    for (const int step : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 4'000))) {
        now += milliseconds(step % 20);
        if (step % 7 == 0) {
            said = step % 2 == 0 ? nothing : limit_of(step % 50 + 1);
        }
        answers.push_back(
            {said, now - milliseconds(step % 90), now, now + milliseconds(step % 13)});
    }
    std::ranges::stable_sort(answers, {}, &answer::arrives_at);
    for (const auto& each : answers) {
        limit.on_answer(each.notice, each.sent_at, each.arrives_at);
        if (!each.notice.rate_limit) {
            continue;
        }
        RC_ASSERT(limit.per_second() == each.notice.rate_limit);
    }
    const auto quiet = now + milliseconds(100);
    limit.on_answer(said, quiet, quiet + milliseconds(5));
    RC_ASSERT(limit.per_second() == said.rate_limit);
}

TEST(target_notice, reads_decimal_numbers_only) {
    wire_names names;
    names.rate_limit = "limit";
    names.leaving = "leaving";
    const auto read = [&names](const std::string& value) {
        return read_notice({{"limit", value}}, names);
    };
    EXPECT_EQ(read("83.8").rate_limit, 83.8);
    EXPECT_EQ(read("0").rate_limit, 0.0);
    for (const auto* const malformed : {"-1", "nan", "inf", "1e3", "12/s", " 12", "0x1", "--"}) {
        EXPECT_EQ(read(malformed).rate_limit, std::nullopt) << malformed;
        EXPECT_TRUE(read(malformed).has_malformed_rate) << malformed;
    }
    EXPECT_FALSE(read_notice({}, names).has_malformed_rate);
    EXPECT_TRUE(read_notice({{"leaving", "1"}}, names).is_leaving);
    EXPECT_FALSE(read_notice({{"leaving", "0"}}, names).is_leaving);
}

RC_GTEST_PROP(target_notice, any_text_is_a_limit_or_malformed, (const std::string& text)) {
    wire_names names;
    names.rate_limit = "limit";
    const auto notice = read_notice({{"limit", text}}, names);
    RC_ASSERT(text.empty() || notice.rate_limit.has_value() != notice.has_malformed_rate);
    RC_ASSERT((!notice.rate_limit || *notice.rate_limit >= 0));
}

} // namespace lavenderhoist::relay
