#include "lavenderhoist/relay/known_target.hpp"

#include <gtest/gtest.h>

#include <vector>

namespace lavenderhoist::relay {
namespace {

constexpr time_point start{std::chrono::hours(1)};
const std::string route = "route";

std::shared_ptr<known_target> ready_target() {
    mesh::host_record record;
    record.state = mesh::target_state::ready;
    record.slots = 10;
    return std::make_shared<known_target>(record, mesh::distance::remote_data_centre);
}

// Nested calls always go to the nearest target of a service, which refuses most of them since a
// service that it calls is overloaded. The other targets receive no calls and report no level; they
// must not count as open.
TEST(median_level, targets_that_are_not_in_use_do_not_hide_the_level) {
    const std::vector targets{ready_target(), ready_target(), ready_target()};
    targets[1]->on_report(route, {10, 3, 765}, start);
    EXPECT_EQ(median_level(targets, route, start), 765);
}

// Load pattern: a chain ends at an overloaded service and passes one with many targets, of which
// each caller uses few. A target that has just made no call for the chain reports an open level.
// With the lowest level of all, half-finished chains were refused at the end instead of whole ones
// at the entry.
TEST(median_level, one_open_target_of_many_does_not_hide_the_level) {
    std::vector<std::shared_ptr<known_target>> targets;
    for (int i = 0; i < 30; ++i) {
        targets.push_back(ready_target());
        const int level = i == 7 ? admission::open_level : 740 + i;
        targets.back()->on_report(route, {10, 3, level, milliseconds(20)}, start);
    }
    EXPECT_GE(median_level(targets, route, start), 740);
    EXPECT_LE(median_level(targets, route, start), 756);
}

TEST(median_level, targets_count_by_their_capacity) {
    const std::vector targets{ready_target(), ready_target(), ready_target()};
    targets[0]->on_report(route, {36, 80, 720, milliseconds(30)}, start);
    targets[1]->on_report(route, {36, 80, 900, milliseconds(90)}, start);
    targets[2]->on_report(route, {36, 80, 930, milliseconds(90)}, start);
    EXPECT_EQ(median_level(targets, route, start), 720);
}

TEST(median_level, is_open_if_a_target_in_use_is_open) {
    const std::vector targets{ready_target(), ready_target()};
    targets[0]->on_report(route, {10, 3, 765}, start);
    targets[1]->on_report(route, {10, 3, admission::open_level}, start);
    EXPECT_EQ(median_level(targets, route, start), admission::open_level);
}

TEST(median_level, is_open_without_a_recent_report) {
    const std::vector targets{ready_target()};
    targets[0]->on_report(route, {10, 3, 765}, start);
    EXPECT_EQ(median_level(targets, route, start + std::chrono::seconds(1)), admission::open_level);
    EXPECT_EQ(median_level(targets, "other", start), admission::open_level);
}

// Load pattern: each entry sends a few chains a second to a service with dozens of targets, so that
// it has heard of few of them within the lifetime of a level.
TEST(known_target, an_unheard_target_has_the_level_of_its_service) {
    const auto unheard = ready_target();
    EXPECT_EQ(unheard->option(route, start, 766).level, 766);
    unheard->on_report(route, {10, 3, 700, milliseconds(20)}, start);
    EXPECT_EQ(unheard->option(route, start, 766).level, 700);
    EXPECT_EQ(unheard->option(route, start + std::chrono::seconds(1), 766).level, 766);
}

void eject(known_target& target) {
    for (int i = 0; i < 100 && target.is_available(start); ++i) {
        target.health().on_failure(start);
    }
    ASSERT_FALSE(target.is_available(start));
}

// The store is unavailable, so that other nodes receive no update that a target is leaving. It
// refuses all requests and is ejected for that, while the only other target is overloaded. The
// level of the ejected target (open) must not count.
TEST(median_level, an_ejected_target_does_not_hide_the_level) {
    const std::vector targets{ready_target(), ready_target()};
    targets[0]->on_report(route, {10, 3, 765}, start);
    targets[1]->on_report(route, {0, 0, admission::open_level}, start);
    eject(*targets[1]);
    EXPECT_EQ(median_level(targets, route, start), 765);
}

TEST(median_level, holds_while_the_only_target_is_ejected) {
    const std::vector targets{ready_target()};
    targets[0]->on_report(route, {10, 3, 765}, start);
    eject(*targets[0]);
    EXPECT_EQ(median_level(targets, route, start), 765);
}

TEST(median_level, a_leaving_target_does_not_count) {
    const std::vector targets{ready_target(), ready_target()};
    targets[0]->on_report(route, {10, 3, 765}, start);
    targets[1]->on_report(route, {10, 3, admission::open_level}, start);
    auto leaving = targets[1]->record();
    leaving.state = mesh::target_state::leaving;
    targets[1]->update(leaving);
    EXPECT_EQ(median_level(targets, route, start), 765);
}

// A target that takes few requests per second looks idle by its slots.
TEST(known_target, a_target_at_its_rate_limit_is_loaded_until_the_rate_covers_its_backlog) {
    const auto target = ready_target();
    load_report report{10, 0, admission::open_level, milliseconds(5)};
    report.rate_limit = 20;
    report.rate_backlog = 6;
    target->on_report(route, report, start);
    EXPECT_GE(target->option(route, start).load, 1);
    EXPECT_LT(target->option(route, start + milliseconds(300)).load, 0.1);
    target->on_sent();
    target->on_sent();
    EXPECT_GE(target->option(route, start + milliseconds(300)).load, 0.9);
}

// The load pattern: one of two targets is limited, and each of fifteen entries, whose reports are
// some hundred milliseconds old, relied on the limit to have covered the backlog since: 17 requests
// waited for half a second while the other target was idle.
TEST(known_target, an_entry_relies_on_its_part_of_the_rate_only) {
    const auto target = ready_target();
    target->set_entries(15);
    load_report report{192, 23, admission::open_level, milliseconds(180)};
    report.rate_limit = 30.8;
    report.rate_backlog = 17;
    target->on_report(route, report, start);
    EXPECT_GE(target->option(route, start + milliseconds(500)).load,
              mesh::placement::max_preferred_load);
}

// A target that looks slow receives no requests that would show that it has become faster.
TEST(known_target, an_old_run_time_counts_as_unknown) {
    const auto target = ready_target();
    load_report report{10, 3, admission::open_level, milliseconds(20)};
    report.run_time = milliseconds(40);
    target->on_report(route, report, start);
    EXPECT_EQ(target->option(route, start + std::chrono::seconds(4)).run_time, milliseconds(40));
    EXPECT_EQ(target->option("other", start).run_time, duration(0));
    EXPECT_EQ(target->option(route, start + std::chrono::seconds(5)).run_time, duration(0));
}

TEST(known_target, what_a_target_said_of_itself_outlives_a_new_record_of_its_host) {
    const auto older = ready_target();
    load_report report{10, 0, admission::open_level, milliseconds(5)};
    report.rate_limit = 20;
    report.is_leaving = true;
    older->on_report(route, report, start);
    const auto newer = ready_target();
    newer->inherit(*older);
    ASSERT_TRUE(newer->known_rate());
    EXPECT_EQ(newer->known_rate()->per_second, 20);
    EXPECT_FALSE(newer->is_available(start));
}

TEST(median_level, a_limited_target_counts_by_its_limit) {
    const std::vector targets{ready_target(), ready_target()};
    load_report limited{10, 3, 900, milliseconds(5)};
    limited.rate_limit = 20;
    targets[0]->on_report(route, limited, start);
    targets[1]->on_report(route, {10, 3, admission::open_level, milliseconds(5)}, start);
    EXPECT_EQ(median_level(targets, route, start), admission::open_level);
}

} // namespace
} // namespace lavenderhoist::relay
