#include "lavenderhoist/call/call_codec.hpp"

#include <gtest/gtest.h>

using namespace lavenderhoist;
using namespace lavenderhoist::node;

namespace {

constexpr time_point start{std::chrono::hours(1)};

call make_call() {
    call made;
    made.root_id = "root";
    made.service = "permits";
    made.class_name = "order";
    made.caller = "village-post";
    made.importance = 700;
    made.deadline = start + std::chrono::seconds(1);
    made.depth = 3;
    made.credits = 2;
    made.is_order = true;
    made.order_key = key::make(milliseconds(17), {1, 2});
    made.message = {
        "POST", "/permits", {{"content-type", "text/plain"}, {"lh-credits", "99"}}, "body"};
    return made;
}

} // namespace

TEST(call_codec, call_round_trips_and_forged_fields_are_stripped) {
    const auto original = make_call();
    const auto decoded = decode_call(encode_call(original, "secret", start), "secret", start);
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->credits, 2);
    EXPECT_EQ(decoded->importance, 700);
    EXPECT_EQ(decoded->deadline, original.deadline);
    EXPECT_EQ(decoded->order_key, original.order_key);
    EXPECT_EQ(decoded->message.fields.size(), 1U);
}

TEST(call_codec, peer_without_the_secret_is_refused) {
    EXPECT_FALSE(decode_call(encode_call(make_call(), "other", start), "secret", start));
    EXPECT_FALSE(decode_call(encode_call(make_call(), "", start), "secret", start));
}

TEST(call_codec, answer_round_trips) {
    auto original = make_failure(outcome::refused, errc::overloaded, step::admission, "node-7",
                                 std::chrono::milliseconds(1'500));
    original.level = 300;
    original.credits_left = 1;
    const auto decoded = decode_answer(encode_answer(original));
    EXPECT_EQ(decoded.result, outcome::refused);
    EXPECT_EQ(decoded.failure.code, errc::overloaded);
    EXPECT_EQ(decoded.failure.where, step::admission);
    EXPECT_EQ(decoded.failure.peer, "node-7");
    EXPECT_EQ(decoded.level, 300);
    EXPECT_EQ(decoded.retry_after, std::chrono::milliseconds(1'500));
}
