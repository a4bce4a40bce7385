#include "lavenderhoist/serving/caller_front.hpp"

#include <gtest/gtest.h>

using namespace lavenderhoist;
using namespace lavenderhoist::node;

TEST(caller_front, splits_service_and_path) {
    EXPECT_EQ(split_path("/a/b/c?d").service, "a");
    EXPECT_EQ(split_path("/a/b/c?d").path, "/b/c?d");
    EXPECT_EQ(split_path("/a").path, "/");
    EXPECT_EQ(split_path("/a?x").path, "/?x");
    EXPECT_EQ(split_path("a").service, "");
}
