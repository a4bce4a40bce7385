#include "lavenderhoist/relay/crash_watch.hpp"
#include "lavenderhoist/relay/relay_request.hpp"

#include <gtest/gtest.h>

#include <cstdint>
#include <string>
#include <vector>

namespace lavenderhoist::relay {
namespace {

constexpr const char* target_id = "target";
constexpr std::int64_t started_at_ms = 1;

relay_request make_request(const std::string& path, const std::string& caller = "front") {
    relay_request request;
    request.service = "back";
    request.caller = caller;
    request.message.method = "GET";
    request.message.path = path;
    return request;
}

} // namespace

// A process that is killed closes its listener and its connections one by one.
TEST(crash_watch, one_end_that_is_noticed_twice_quarantines_nothing) {
    crash_watch crashes("node");
    const auto request = make_request("/read");
    crashes.on_target_ended(target_id, started_at_ms, {digests_of(request)});
    crashes.on_unanswered(digests_of(request));
    crashes.on_target_ended(target_id, started_at_ms, {});
    EXPECT_FALSE(crashes.is_quarantined(request));
    crashes.on_unanswered(digests_of(request));
    crashes.on_target_ended(target_id, started_at_ms, {}); // another start has announced itself
    EXPECT_FALSE(crashes.is_quarantined(request));
}

// A target may end again before it has announced its new start.
TEST(crash_watch, an_end_after_a_new_connection_is_another_one) {
    crash_watch crashes("node");
    const auto request = make_request("/read");
    for (int i = 0; i < 2; ++i) {
        crashes.on_connected();
        crashes.on_unanswered(digests_of(request));
        crashes.on_target_ended(target_id, started_at_ms, {});
    }
    EXPECT_TRUE(crashes.is_quarantined(request));
}

TEST(crash_watch, a_request_that_comes_again_at_hosts_of_another_service_is_quarantined) {
    crash_watch crashes("node");
    for (const char* caller : {"front", "middle"}) {
        crashes.on_connected();
        crashes.on_target_ended(target_id, started_at_ms, {digests_of(make_request("/x", caller))});
    }
    EXPECT_TRUE(crashes.is_quarantined(make_request("/x", "back")));
}

TEST(crash_watch, a_request_that_only_one_caller_can_run_is_quarantined_for_the_other) {
    crash_watch crashes("node");
    const auto harmful = make_request("/x", "front");
    const auto harmless = make_request("/x", "middle");
    for (int i = 0; i < 2; ++i) {
        crashes.on_connected();
        crashes.on_target_ended(target_id, started_at_ms, {digests_of(harmful)});
        crashes.on_completed(digests_of(harmless));
    }
    EXPECT_TRUE(crashes.is_quarantined(harmful));
    EXPECT_FALSE(crashes.is_quarantined(harmless));
}

} // namespace lavenderhoist::relay
