#include "lavenderhoist/core/key.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace lavenderhoist;

RC_GTEST_PROP(key, text_form_round_trips, (std::uint64_t first, std::uint64_t second)) {
    const auto issued = *rc::gen::inRange<std::int64_t>(0, 1LL << 48U);
    const auto made = key::make(std::chrono::milliseconds(issued), {first, second});
    const auto parsed = key::parse(made.to_string());
    RC_ASSERT(parsed.has_value());
    RC_ASSERT(*parsed == made);
    RC_ASSERT(parsed->issued_at().count() == issued);
}

TEST(key, rejects_what_is_no_uuid_of_version_7) {
    EXPECT_FALSE(key::parse(""));
    EXPECT_FALSE(key::parse("17"));
    EXPECT_FALSE(key::parse("0193a1b2-c3d4-4abc-8def-0123456789ab")); // version 4
    EXPECT_FALSE(key::parse("0193a1b2-c3d4-7abc-cdef-0123456789ab")); // other variant
    EXPECT_FALSE(key::parse("0193a1b2-c3d4-7abc-8def-0123456789ag"));
    EXPECT_FALSE(key::parse("0193a1b2xc3d4-7abc-8def-0123456789ab"));
    EXPECT_TRUE(key::parse("0193A1B2-C3D4-7abc-8def-0123456789ab"));
}
