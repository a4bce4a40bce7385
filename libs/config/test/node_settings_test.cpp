#include "lavenderhoist/config.hpp"

#include <gtest/gtest.h>

using namespace lavenderhoist::config;

namespace {

std::string document(const std::string& more) {
    return R"({"id": "n", "data_centre": "d", "listen": {"callers": "127.0.0.1:1", "egress": "127.0.0.1:2",
      "calls": "127.0.0.1:3", "control": "127.0.0.1:4", "admin": "127.0.0.1:5"}, "log": "127.0.0.1:6",
      "admin_token": "t", "deployment_secret": "s")" +
           more + "}";
}

std::vector<issue> issues_of(const std::string& text) {
    const auto parsed = parse_node_settings(text, "n.json");
    const auto* const issues = std::get_if<std::vector<issue>>(&parsed);
    return issues == nullptr ? std::vector<issue>{} : *issues;
}

} // namespace

TEST(node_settings, fill_in_what_may_be_left_out) {
    const auto parsed = parse_node_settings(document(""), "n.json");
    ASSERT_TRUE(std::holds_alternative<node_settings>(parsed));
    EXPECT_EQ(std::get<node_settings>(parsed).lease.count(), 3'000);
}

TEST(node_settings, reject_wrong_addresses_and_ranges) {
    EXPECT_EQ(issues_of(document(R"(, "contacts": ["nowhere"])")).size(), 1U);
    EXPECT_EQ(issues_of(document(R"(, "lease_ms": 1)")).size(), 1U);
    EXPECT_EQ(issues_of(document(R"(, "policy": "maybe")")).size(), 1U);
    EXPECT_EQ(issues_of(document(R"(, "clock_bound": 1)")).size(), 1U);
}

TEST(address, parses_numeric_ports_only) {
    EXPECT_TRUE(parse_address("127.0.0.1:80"));
    EXPECT_FALSE(parse_address("127.0.0.1"));
    EXPECT_FALSE(parse_address("127.0.0.1:0"));
    EXPECT_FALSE(parse_address("127.0.0.1:70000"));
    EXPECT_FALSE(parse_address("127.0.0.1:8x"));
}
