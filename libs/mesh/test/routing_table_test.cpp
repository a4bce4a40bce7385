#include "lavenderhoist/mesh/routing_table.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>

namespace lavenderhoist::mesh {
namespace {

route make_route(std::string name, std::string host, std::string prefix) {
    route made;
    made.name = std::move(name);
    made.host = std::move(host);
    made.prefix = std::move(prefix);
    made.destinations = {{"s", 1}};
    return made;
}

std::string name_of(const routing_table& table, std::string_view host, std::string_view path) {
    const auto* const found = table.find(host, path);
    return found == nullptr ? "" : found->name;
}

TEST(routing_table, the_longest_prefix_of_the_host_wins) {
    const routing_table table(1, {},
                              {make_route("root", "h", "/"), make_route("a", "h", "/a/"),
                               make_route("ab", "h", "/a/b/"), make_route("other", "g", "/a/b/")},
                              {});
    EXPECT_EQ(name_of(table, "h", "/a/b/c"), "ab");
    EXPECT_EQ(name_of(table, "h", "/a/b"), "a");
    EXPECT_EQ(name_of(table, "h", "/ab/"), "root");
    EXPECT_EQ(name_of(table, "h", "/x?y=/a/b/"), "root");
    EXPECT_EQ(name_of(table, "g", "/a/b/c"), "other");
    EXPECT_EQ(name_of(table, "g", "/a/"), "");
    EXPECT_EQ(name_of(table, "unknown", "/a/"), "");
}

TEST(routing_table, agrees_with_a_search_over_all_routes) {
    const bool holds = rc::check([] {
        const auto segment = rc::gen::element<std::string>("a", "b", "cc");
        const auto segments = rc::gen::container<std::vector<std::string>>(segment);
        std::vector<route> routes;
        for (int i = 0; i < *rc::gen::inRange(0, 8); ++i) {
            std::string prefix = "/";
            for (const auto& each : *segments) {
                prefix += each + "/";
            }
            const auto is_same = [&prefix](const route& r) { return r.prefix == prefix; };
            if (std::ranges::none_of(routes, is_same)) {
                routes.push_back(make_route(prefix, "h", prefix));
            }
        }
        std::string path;
        for (const auto& each : *segments) {
            path += "/" + each;
        }
        path += *rc::gen::element<std::string>("/", "/d", "", "/?a/b/");
        if (!path.starts_with('/')) {
            path = "/" + path;
        }
        std::string expected;
        const auto bare = path.substr(0, path.find('?'));
        for (const auto& each : routes) {
            if (bare.starts_with(each.prefix) && each.prefix.size() > expected.size()) {
                expected = each.prefix;
            }
        }
        RC_ASSERT(name_of(routing_table(1, {}, routes, {}), "h", path) == expected);
    });
    EXPECT_TRUE(holds);
}

} // namespace
} // namespace lavenderhoist::mesh
