#include "lavenderhoist/quarantine/crash_ledger.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace lavenderhoist::quarantine {
namespace {

constexpr milliseconds start{std::chrono::hours(1)};
constexpr std::array<std::uint64_t, 2> both{1, 2};
constexpr std::array<std::uint64_t, 1> poison{1};

} // namespace

TEST(crash_ledger, second_end_quarantines) {
    crash_ledger ledger;
    EXPECT_EQ(ledger.on_end(11, both, start).size(), 2U);
    EXPECT_TRUE(ledger.is_suspect(1, start));
    EXPECT_FALSE(ledger.is_quarantined(1, start));
    ledger.on_end(12, poison, start);
    EXPECT_TRUE(ledger.is_quarantined(1, start));
    EXPECT_EQ(ledger.grounds(1, start).size(), 2U);
    EXPECT_FALSE(ledger.is_quarantined(2, start));
}

TEST(crash_ledger, one_end_that_is_reported_twice_counts_once) {
    crash_ledger ledger;
    const auto raised = ledger.on_end(11, poison, start);
    EXPECT_EQ(ledger.merge(raised, start), 0U);
    ledger.on_end(11, poison, start);
    EXPECT_FALSE(ledger.is_quarantined(1, start));
}

TEST(crash_ledger, completing_elsewhere_clears) {
    crash_ledger here;
    crash_ledger elsewhere;
    elsewhere.merge(here.on_end(11, both, start), start);
    const auto cleared = elsewhere.on_completed(2, start);
    ASSERT_EQ(cleared.size(), 1U);
    EXPECT_EQ(here.merge(cleared, start), 1U);
    here.on_end(12, both, start);
    EXPECT_TRUE(here.is_quarantined(1, start));
    EXPECT_FALSE(here.is_quarantined(2, start));
    // The old suspicion arrives once more, by a node that has not heard of its clearance.
    here.merge(std::array{suspicion{2, 11, start}}, start);
    EXPECT_FALSE(here.is_quarantined(2, start));
}

TEST(crash_ledger, a_request_that_the_target_has_just_completed_is_no_suspect) {
    crash_ledger ledger;
    ledger.on_completed(2, start);
    EXPECT_EQ(ledger.on_end(11, both, start + std::chrono::seconds(1)).size(), 1U);
    EXPECT_FALSE(ledger.is_suspect(2, start + std::chrono::seconds(1)));
}

// A request that used to complete may begin to crash its targets.
TEST(crash_ledger, an_earlier_completion_excuses_once) {
    crash_ledger ledger;
    ledger.on_completed(1, start);
    for (std::uint64_t end = 11; end < 14; ++end) {
        ledger.on_end(end, poison, start);
    }
    EXPECT_TRUE(ledger.is_quarantined(1, start));
}

TEST(crash_ledger, suspicion_and_quarantine_expire) {
    crash_ledger ledger;
    ledger.merge(std::array{suspicion{1, 11, start}}, start);
    const auto later = start + crash_ledger::suspicion_lifetime;
    ledger.on_end(12, poison, later);
    EXPECT_FALSE(ledger.is_quarantined(1, later));
    ledger.on_end(13, poison, later);
    EXPECT_TRUE(ledger.is_quarantined(1, later));
    EXPECT_FALSE(ledger.is_quarantined(1, later + crash_ledger::suspicion_lifetime));
}

TEST(crash_ledger, holds_a_bounded_number_of_suspects) {
    crash_ledger ledger;
    for (std::uint64_t request = 1; request <= 2 * crash_ledger::max_requests; ++request) {
        const auto now = start + milliseconds(request);
        ledger.merge(std::array{suspicion{request, 11, now}}, now);
    }
    const auto now = start + milliseconds(2 * crash_ledger::max_requests);
    EXPECT_LE(ledger.suspicions(now).size(), crash_ledger::max_requests);
    EXPECT_TRUE(ledger.is_suspect(2 * crash_ledger::max_requests, now));
}

TEST(suspicion, survives_its_encoding) {
    const std::vector<suspicion> all{{0xffffffffffffffffULL, 2, start, true}, {3, 4, start}};
    EXPECT_EQ(decode_suspicions(encode(all)), all);
}

TEST(suspicion, malformed_ones_do_not_hide_the_others) {
    const auto found = decode_suspicions(
        R"([{"request":1},7,{"request":-1,"end":2,"seen_ms":3},{"request":1,"end":2,"seen_ms":3}])");
    ASSERT_TRUE(found);
    EXPECT_EQ(found->size(), 1U);
    EXPECT_FALSE(decode_suspicions("{}"));
    EXPECT_FALSE(decode_suspicions("[1"));
}

// Nodes that have heard all of each other's suspicions, late, repeated and in any order, quarantine
// the same requests: those with two ends that were not cleared after they were known.
RC_GTEST_PROP(crash_ledger, nodes_that_have_heard_all_agree_with_the_oracle, ()) {
    constexpr std::size_t nodes = 3;
    constexpr std::uint64_t requests = 4;
    std::array<crash_ledger, nodes> ledgers;
    std::vector<suspicion> sent;
    std::map<std::pair<std::uint64_t, std::uint64_t>, bool> oracle; // cleared, by request and end
    std::uint64_t last_end = 0;
    const auto steps = *rc::gen::inRange(1, 40);
    const auto later = start + crash_ledger::innocence_lifetime;
    for (int i = 0; i < steps; ++i) {
        const auto node = *rc::gen::inRange<std::size_t>(0, nodes);
        const auto request = *rc::gen::inRange<std::uint64_t>(1, requests + 1);
        std::vector<suspicion> news;
        switch (*rc::gen::inRange(0, 3)) {
        case 0:
            // The completions of the node are too long ago to excuse the request.
            news = ledgers.at(node).on_end(++last_end, std::array{request}, later);
            RC_ASSERT(news.size() == 1U);
            oracle[{request, last_end}] = false;
            break;
        case 1:
            news = ledgers.at(node).on_completed(request, start);
            for (const auto& each : news) {
                oracle[{each.request, each.end}] = true;
            }
            break;
        default:
            if (!sent.empty()) {
                const auto which = *rc::gen::inRange<std::size_t>(0, sent.size());
                ledgers.at(node).merge(std::span(sent).subspan(which, 1), later);
            }
        }
        sent.insert(sent.end(), news.begin(), news.end());
    }
    for (std::uint64_t request = 1; request <= requests; ++request) {
        std::size_t ends = 0;
        for (const auto& [key, is_cleared] : oracle) {
            ends += key.first == request && !is_cleared ? 1 : 0;
        }
        for (auto& ledger : ledgers) {
            ledger.merge(sent, later);
            RC_ASSERT(ledger.is_quarantined(request, later) ==
                      (ends >= crash_ledger::ends_to_quarantine));
        }
    }
}

} // namespace lavenderhoist::quarantine
