#include "lavenderhoist/config.hpp"

#include <gtest/gtest.h>

#include <algorithm>

using namespace lavenderhoist::config;

namespace {

std::string document(const std::string& slots, const std::string& class_name = "order",
                     const std::string& more = "") {
    return R"({"deployment": "d", "classes": [{"name": "order", "rank": 5, "deadline_ms": 100)" +
           more + R"(}], "services": [{"name": "s", "slots": )" + slots +
           R"(, "connections": 10, "routes": [{"prefix": "/", "class": ")" + class_name +
           R"("}]}]})";
}

std::vector<issue> issues_of(const std::string& text) {
    const auto parsed = parse_deployment(text, "file.json");
    const auto* const issues = std::get_if<std::vector<issue>>(&parsed);
    return issues == nullptr ? std::vector<issue>{} : *issues;
}

} // namespace

TEST(deployment, accepts_a_whole_document) {
    EXPECT_TRUE(issues_of(document("10")).empty());
}

TEST(deployment, names_path_value_and_range_of_each_fault) {
    const auto issues = issues_of(document("0"));
    ASSERT_EQ(issues.size(), 1U);
    EXPECT_EQ(describe(issues[0]),
              "file.json: $.services[0].slots: 0: expected an integer from 1 to 100000");
}

TEST(deployment, rejects_ill_typed_unknown_and_dangling_values) {
    EXPECT_EQ(issues_of(document("\"ten\"")).size(), 1U);
    EXPECT_EQ(issues_of(document("10", "nothing")).size(), 1U);
    EXPECT_EQ(issues_of(document("10", "order", R"(, "colour": 1)")).size(), 1U);
    EXPECT_EQ(issues_of("{").size(), 1U);
    EXPECT_EQ(issues_of("[]").size(), 1U);
    EXPECT_GE(issues_of("{}").size(), 3U);
}

TEST(deployment, rejects_fewer_connections_than_slots) {
    EXPECT_EQ(issues_of(document("11")).size(), 1U);
}

TEST(deployment, longest_prefix_decides_the_class) {
    service owner;
    owner.routes = {{"POST", "/orders", "order", 1}, {"*", "/", "read", 0}};
    EXPECT_EQ(owner.find_route("POST", "/orders/1")->class_name, "order");
    EXPECT_EQ(owner.find_route("GET", "/orders/1")->class_name, "read");
    EXPECT_EQ(owner.find_route("POST", "/x")->class_name, "read");
}
