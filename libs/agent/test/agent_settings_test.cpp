// A node must start with the settings that the platform fills in, and bound its memory by them.

#include "lavenderhoist/agent/agent_settings.hpp"

#include <gtest/gtest.h>

#include <string>

namespace lavenderhoist::agent {
namespace {

std::string settings_with(const std::string& member) {
    return R"({"id": "host-1", "data_centre": "a", "service": "s", "target": "127.0.0.1:1",
        "listen": {"callers": "127.0.0.1:2", "calls": "127.0.0.1:3", "control": "127.0.0.1:4",
                   "ready": "127.0.0.1:5", "metrics": "127.0.0.1:6"},
        "store": "127.0.0.1:7", "repeats": {})" +
           member + "}";
}

double memory_of(const std::string& member) {
    const auto parsed = parse_agent_settings(settings_with(member), "settings");
    const auto* const settings = std::get_if<agent_settings>(&parsed);
    return settings == nullptr ? -1 : settings->memory_mb;
}

TEST(agent_settings, take_the_memory_of_the_host) {
    EXPECT_EQ(memory_of(R"(, "memory_mb": 160)"), 160);
    EXPECT_EQ(memory_of(R"(, "memory_mb": 160.5)"), 160.5);
    EXPECT_EQ(memory_of(R"(, "memory_mb": 1)"), -1);
}

// A template has no value for it on hosts whose memory is not stated.
TEST(agent_settings, have_a_default_for_the_memory_of_the_host) {
    EXPECT_EQ(memory_of(""), 1'024);
    EXPECT_EQ(memory_of(R"(, "memory_mb": null)"), 1'024);
}

} // namespace
} // namespace lavenderhoist::agent
