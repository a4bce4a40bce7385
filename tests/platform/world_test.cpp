#include "world.hpp"

#include <gtest/gtest.h>

#include <set>

namespace lavenderhoist::platform_test {
namespace {

// A node exits at startup if two of its listeners have the same port, and its deployment never
// becomes ready.
TEST(platform_world, ports_differ) {
    constexpr std::size_t count = 9;
    for (int i = 0; i < 3'000; ++i) {
        const auto ports = free_ports(count);
        ASSERT_EQ(std::set<std::uint16_t>(ports.begin(), ports.end()).size(), count);
    }
}

} // namespace
} // namespace lavenderhoist::platform_test
