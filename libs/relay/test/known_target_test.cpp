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

// The load pattern: calls of work under way always go to the nearest target of a service, which is
// closed to most of them since its own callee is overloaded. Other targets are never asked.
TEST(lowest_known_level, targets_that_are_not_in_use_do_not_hide_the_level) {
    const std::vector targets{ready_target(), ready_target(), ready_target()};
    targets[1]->on_report(route, {10, 3, 765}, start);
    EXPECT_EQ(lowest_known_level(targets, route, start), 765);
}

TEST(lowest_known_level, an_open_target_in_use_is_the_way_in) {
    const std::vector targets{ready_target(), ready_target()};
    targets[0]->on_report(route, {10, 3, 765}, start);
    targets[1]->on_report(route, {10, 3, admission::open_level}, start);
    EXPECT_EQ(lowest_known_level(targets, route, start), admission::open_level);
}

TEST(lowest_known_level, is_open_once_nothing_has_been_heard_for_a_while) {
    const std::vector targets{ready_target()};
    targets[0]->on_report(route, {10, 3, 765}, start);
    EXPECT_EQ(lowest_known_level(targets, route, start + std::chrono::seconds(1)),
              admission::open_level);
    EXPECT_EQ(lowest_known_level(targets, "other", start), admission::open_level);
}

void eject(known_target& target) {
    for (int i = 0; i < 100 && target.takes_work(start); ++i) {
        target.health().on_failure(start);
    }
    ASSERT_FALSE(target.takes_work(start));
}

// The load pattern: the store is away, so that nobody hears that a target leaves; it refuses all
// and is left out for that, while the only other target is overloaded.
TEST(lowest_known_level, a_target_that_is_left_out_does_not_hide_the_level) {
    const std::vector targets{ready_target(), ready_target()};
    targets[0]->on_report(route, {10, 3, 765}, start);
    targets[1]->on_report(route, {0, 0, admission::open_level}, start);
    eject(*targets[1]);
    EXPECT_EQ(lowest_known_level(targets, route, start), 765);
}

TEST(lowest_known_level, holds_while_the_only_target_is_left_out) {
    const std::vector targets{ready_target()};
    targets[0]->on_report(route, {10, 3, 765}, start);
    eject(*targets[0]);
    EXPECT_EQ(lowest_known_level(targets, route, start), 765);
}

TEST(lowest_known_level, a_leaving_target_does_not_count) {
    const std::vector targets{ready_target(), ready_target()};
    targets[0]->on_report(route, {10, 3, 765}, start);
    targets[1]->on_report(route, {10, 3, admission::open_level}, start);
    auto leaving = targets[1]->record();
    leaving.state = mesh::target_state::leaving;
    targets[1]->update(leaving);
    EXPECT_EQ(lowest_known_level(targets, route, start), 765);
}

} // namespace
} // namespace lavenderhoist::relay
