// What nodes send each other beside requests and answers: it comes back unchanged, and damaged
// fields neither throw nor take effect.

#include "lavenderhoist/relay/stream_codec.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>

namespace lavenderhoist::relay {
namespace {

constexpr time_point start{std::chrono::hours(1)};

relay_request make_request() {
    relay_request request;
    request.id = "id";
    request.service = "back";
    request.deadline = start + std::chrono::seconds(1);
    return request;
}

std::string& field_of(net::headers& fields, std::string_view name) {
    for (auto& field : fields) {
        if (field.name == name) {
            return field.value;
        }
    }
    fields.push_back({std::string(name), ""});
    return fields.back().value;
}

std::optional<load_report> report_from(const std::string& text) {
    net::exchange_result result;
    result.answer.fields.push_back({"lh-load", text});
    return parse_load_answer(result);
}

} // namespace

RC_GTEST_PROP(stream_codec, a_load_report_comes_back_as_it_was_sent, ()) {
    load_report sent;
    sent.limit = *rc::gen::inRange(0, 10'000);
    sent.busy = *rc::gen::inRange(0, 10'000);
    sent.service_time = std::chrono::microseconds(*rc::gen::inRange(0, 1'000'000));
    sent.rate_backlog = *rc::gen::inRange(0, 10'000);
    sent.is_leaving = *rc::gen::arbitrary<bool>();
    if (*rc::gen::arbitrary<bool>()) {
        sent.rate_limit = *rc::gen::inRange(0, 4'000'000) / 4.0;
    }
    const auto message = make_load_answer(sent);
    const auto received = report_from(std::string(net::find_header(message.fields, "lh-load")));
    RC_ASSERT(received.has_value());
    RC_ASSERT(received->limit == sent.limit && received->busy == sent.busy);
    RC_ASSERT(received->service_time == sent.service_time);
    RC_ASSERT(received->rate_limit == sent.rate_limit);
    RC_ASSERT(received->rate_backlog == sent.rate_backlog);
    RC_ASSERT(received->is_leaving == sent.is_leaving);
}

TEST(stream_codec, reports_of_earlier_versions_have_no_rate_limit) {
    for (const std::string text : {"10 3 0", "10 3 0 2000"}) {
        const auto report = report_from(text);
        ASSERT_TRUE(report) << text;
        EXPECT_EQ(report->limit, 10);
        EXPECT_EQ(report->rate_limit, std::nullopt);
        EXPECT_FALSE(report->is_leaving);
    }
}

// A node of a version that takes any status may pass one on.
TEST(stream_codec, an_answer_without_a_valid_status_is_a_broken_one) {
    for (const int status : {0, 99, 600}) {
        relay_answer sent;
        sent.result = execution::answered;
        sent.message.status = status;
        net::exchange_result received;
        received.answer = to_stream(sent);
        const auto answer = from_stream(std::move(received), "peer");
        EXPECT_EQ(answer.result, execution::unknown);
        EXPECT_EQ(answer.failure.code, errc::bad_answer);
    }
}

RC_GTEST_PROP(stream_codec, a_run_time_comes_back_as_it_was_sent, ()) {
    load_report sent;
    sent.run_time = std::chrono::microseconds(*rc::gen::inRange(0, 5'000'000));
    const auto message = make_load_answer(sent);
    const auto received = report_from(std::string(net::find_header(message.fields, "lh-load")));
    RC_ASSERT(received.has_value());
    RC_ASSERT(received->run_time == sent.run_time);
}

TEST(stream_codec, reports_of_the_previous_version_have_no_run_time) {
    const auto report = report_from("10 3 0 2000 -1 0 1");
    ASSERT_TRUE(report);
    EXPECT_TRUE(report->is_leaving);
    EXPECT_EQ(report->run_time, duration(0));
}

RC_GTEST_PROP(stream_codec, any_text_is_a_report_or_none, (const std::string& text)) {
    const auto report = report_from(text);
    RC_ASSERT((!report || !report->rate_limit || *report->rate_limit >= 0));
    RC_ASSERT((!report || report->rate_backlog >= 0));
}

TEST(stream_codec, a_hint_of_a_limit_comes_back_as_it_was_sent) {
    auto request = make_request();
    request.target_rate = rate_hint{46.4, 1'796'409'715'912};
    const auto received = from_stream(to_stream(request, start), start);
    ASSERT_TRUE(received && received->target_rate);
    EXPECT_DOUBLE_EQ(received->target_rate->per_second, 46.4);
    EXPECT_EQ(received->target_rate->target_started_at_ms, 1'796'409'715'912);
    EXPECT_FALSE(from_stream(to_stream(make_request(), start), start)->target_rate);
}

RC_GTEST_PROP(stream_codec, a_damaged_hint_is_none, (const std::string& text)) {
    auto message = to_stream(make_request(), start);
    field_of(message.fields, "lh-known-rate") = text;
    field_of(message.fields, "lh-known-start") = text;
    const auto received = from_stream(std::move(message), start);
    RC_ASSERT(received.has_value());
    RC_ASSERT((!received->target_rate || received->target_rate->per_second >= 0));
}

} // namespace lavenderhoist::relay
