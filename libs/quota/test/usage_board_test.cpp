#include "lavenderhoist/quota/usage_board.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace lavenderhoist::quota {
namespace {

const time_point start{std::chrono::seconds(1'000)};
constexpr const char* organisation = "north";

usage_report report_of(const std::string& node, const std::string& source, usage total,
                       usage recent) {
    return {node, source, false, {{organisation, {total, recent}}}};
}

usage counted(const usage_board& board) {
    const auto report = board.data_centre_report(start);
    const auto found = report.organisations.find(organisation);
    return found == report.organisations.end() ? usage{} : found->second.total;
}

} // namespace

TEST(usage_board, a_repeated_report_counts_once) {
    usage_board board("a", "host-1");
    for (int i = 0; i < 3; ++i) {
        board.on_report(report_of("host-2", "s", {5, 4}, {5, 4}), start);
    }
    EXPECT_EQ(counted(board), (usage{5, 4}));
    board.on_report(report_of("host-2", "s", {8, 4}, {8, 4}), start);
    EXPECT_EQ(counted(board), (usage{8, 4}));
}

TEST(usage_board, of_a_node_that_reports_for_the_first_time_only_recent_usage_counts) {
    usage_board board("a", "host-1");
    board.on_report(report_of("host-2", "s", {500, 400}, {5, 4}), start);
    EXPECT_EQ(counted(board), (usage{5, 4}));
}

TEST(usage_board, a_restarted_node_begins_at_its_new_totals) {
    usage_board board("a", "host-1");
    board.on_report(report_of("host-2", "first", {500, 400}, {5, 4}), start);
    board.on_report(report_of("host-2", "second", {2, 2}, {2, 2}), start);
    board.on_report(report_of("host-2", "second", {3, 3}, {3, 3}), start);
    EXPECT_EQ(counted(board), (usage{6, 5}));
}

TEST(usage_board, another_data_centre_counts_for_the_shares_and_not_for_the_local_report) {
    usage_board board("a", "host-1");
    usage_report other = report_of("b", "host-7", {1'000, 1'000}, {1'000, 1'000});
    other.is_data_centre = true;
    board.on_report(other, start);
    EXPECT_EQ(counted(board), (usage{}));
    const auto found = board.find_allowances([](auto) { return rate_quota{10, 0}; }, start);
    ASSERT_TRUE(found.contains(organisation));
    EXPECT_EQ(found.at(organisation).share, 0);
    EXPECT_LT(found.at(organisation).left, -900);
    EXPECT_TRUE(board.find_allowances([](auto) { return std::nullopt; }, start).empty());
}

// Nodes may disagree for a while on who collects the reports of their data centre.
TEST(usage_board, two_collectors_of_a_data_centre_are_both_counted) {
    usage_board board("a", "host-1");
    const auto report = [&](const std::string& source, std::int64_t admitted) {
        usage_report from = report_of("b", source, {admitted, admitted}, {admitted, admitted});
        from.is_data_centre = true;
        board.on_report(from, start);
    };
    for (std::int64_t admitted = 0; admitted <= 40; ++admitted) {
        report("host-7", admitted);
        report("host-8", admitted);
    }
    const auto share = [&](double burst) {
        const auto found = board.find_allowances(
            [burst](auto) {
                return rate_quota{1, burst};
            },
            start);
        return found.contains(organisation) ? found.at(organisation).share : 1;
    };
    EXPECT_LT(share(125), 1); // one of them alone would be within it
    EXPECT_EQ(share(250), 1);
}

TEST(usage_board, its_own_data_centre_is_not_counted_twice) {
    usage_board board("a", "host-1");
    usage_report own = report_of("a", "host-2", {5, 5}, {5, 5});
    own.is_data_centre = true;
    board.on_report(own, start);
    EXPECT_EQ(counted(board), (usage{}));
}

TEST(usage_report, survives_its_encoding) {
    usage_report report = report_of("host-2", "s", {5, 4}, {3, 2});
    report.is_data_centre = true;
    EXPECT_EQ(decode_usage_report(encode(report)), report);
    const allowances found{{"north", {0.25, -3.5}}, {"south", {0, 1e9}}};
    EXPECT_EQ(decode_allowances(encode(found)), found);
}

TEST(usage_report, odd_entries_do_not_hide_the_others) {
    const auto report = decode_usage_report(
        R"({"origin":"a","source":"b","organisations":{"w":7,"x":[1,2,3],"y":[1,2,3,-4],
            "z":[1e300,0,0,0],"north":[4,3,2,1]}})");
    ASSERT_TRUE(report);
    EXPECT_EQ(report->organisations.size(), 1U);
    const auto found = decode_allowances(
        R"({"a":[2,0],"b":[-1,0],"c":"x","d":[1],"e":[0,1e999],"north":[0.5,1]})");
    ASSERT_TRUE(found);
    EXPECT_EQ(*found, (allowances{{"north", {0.5, 1}}}));
}

RC_GTEST_PROP(usage_report, any_text_is_a_report_or_none, (const std::string& text)) {
    const auto report = decode_usage_report(text);
    RC_ASSERT((!report || decode_usage_report(encode(*report)) == report));
    const auto found = decode_allowances(text);
    RC_ASSERT((!found || decode_allowances(encode(*found)) == found));
}

} // namespace lavenderhoist::quota
