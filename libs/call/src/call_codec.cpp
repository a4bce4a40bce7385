#include "lavenderhoist/call/call_codec.hpp"

#include <charconv>

namespace lavenderhoist::node {
namespace {

constexpr std::string_view secret_field = "lh-secret";
constexpr std::string_view root_field = "lh-root";
constexpr std::string_view service_field = "lh-service";
constexpr std::string_view class_field = "lh-class";
constexpr std::string_view caller_field = "lh-caller";
constexpr std::string_view importance_field = "lh-importance";
constexpr std::string_view timeout_field = "lh-timeout-us";
constexpr std::string_view depth_field = "lh-depth";
constexpr std::string_view credits_field = "lh-credits";
constexpr std::string_view order_field = "lh-order";
constexpr std::string_view key_field = "lh-key";
constexpr std::string_view outcome_field = "lh-outcome";
constexpr std::string_view cause_field = "lh-cause";
constexpr std::string_view step_field = "lh-step";
constexpr std::string_view peer_field = "lh-peer";
constexpr std::string_view level_field = "lh-level";
constexpr std::string_view retry_after_field = "lh-retry-after-ms";
constexpr std::string_view from_target_field = "lh-from-target";

void add(net::headers& fields, std::string_view name, std::string value) {
    fields.push_back({std::string(name), std::move(value)});
}

int integer_or(const net::headers& fields, std::string_view name, int fallback) {
    const auto parsed = parse_integer(net::find_header(fields, name));
    return parsed ? static_cast<int>(*parsed) : fallback;
}

} // namespace

std::optional<std::int64_t> parse_integer(std::string_view text) noexcept {
    std::int64_t value = 0;
    const auto* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end) {
        return std::nullopt;
    }
    return value;
}

bool is_same_secret(std::string_view given, std::string_view expected) noexcept {
    unsigned difference = given.size() == expected.size() ? 0 : 1;
    for (std::size_t i = 0; i < given.size(); ++i) {
        const char other = i < expected.size() ? expected[i] : '\0';
        difference |= static_cast<unsigned char>(given[i] ^ other);
    }
    return difference == 0;
}

net::request encode_call(const call& outgoing, std::string_view secret, time_point now) {
    net::request message = outgoing.message;
    auto& fields = message.fields;
    net::remove_headers_with_prefix(fields, reserved_header_prefix);
    const auto time_left =
        std::chrono::duration_cast<std::chrono::microseconds>(outgoing.deadline - now);
    add(fields, secret_field, std::string(secret));
    add(fields, root_field, outgoing.root_id);
    add(fields, service_field, outgoing.service);
    add(fields, class_field, outgoing.class_name);
    add(fields, caller_field, outgoing.caller);
    add(fields, importance_field, std::to_string(outgoing.importance));
    add(fields, timeout_field, std::to_string(time_left.count()));
    add(fields, depth_field, std::to_string(outgoing.depth));
    add(fields, credits_field, std::to_string(outgoing.credits));
    add(fields, order_field, outgoing.is_order ? "1" : "0");
    if (outgoing.order_key) {
        add(fields, key_field, outgoing.order_key->to_string());
    }
    return message;
}

std::optional<call> decode_call(net::request&& message, std::string_view secret, time_point now) {
    const auto& fields = message.fields;
    if (!is_same_secret(net::find_header(fields, secret_field), secret)) {
        return std::nullopt;
    }
    const auto timeout_us = parse_integer(net::find_header(fields, timeout_field));
    if (!timeout_us) {
        return std::nullopt;
    }
    call result;
    result.root_id = net::find_header(fields, root_field);
    result.service = net::find_header(fields, service_field);
    result.class_name = net::find_header(fields, class_field);
    result.caller = net::find_header(fields, caller_field);
    result.importance = integer_or(fields, importance_field, 0);
    result.deadline = now + std::chrono::microseconds(*timeout_us);
    result.depth = integer_or(fields, depth_field, 0);
    result.credits = integer_or(fields, credits_field, 0);
    result.is_order = net::find_header(fields, order_field) == "1";
    result.order_key = key::parse(net::find_header(fields, key_field));
    result.message = std::move(message);
    net::remove_headers_with_prefix(result.message.fields, reserved_header_prefix);
    return result;
}

net::response encode_answer(const call_answer& answer) {
    net::response message = answer.message;
    auto& fields = message.fields;
    net::remove_headers_with_prefix(fields, reserved_header_prefix);
    if (message.status == 0) {
        message.status = 503;
    }
    add(fields, outcome_field, std::string(to_string(answer.result)));
    add(fields, level_field, std::to_string(answer.level));
    add(fields, credits_field, std::to_string(answer.credits_left));
    if (answer.from_target) {
        add(fields, from_target_field, "1");
    }
    if (answer.failure) {
        add(fields, cause_field, answer.failure.code.message());
        add(fields, step_field, std::string(to_string(answer.failure.where)));
        add(fields, peer_field, answer.failure.peer);
    }
    if (answer.retry_after.count() > 0) {
        const auto wait = std::chrono::duration_cast<milliseconds>(answer.retry_after);
        add(fields, retry_after_field, std::to_string(wait.count()));
    }
    return message;
}

call_answer decode_answer(net::response&& message) {
    call_answer answer;
    const auto& fields = message.fields;
    answer.result =
        parse_outcome(net::find_header(fields, outcome_field)).value_or(outcome::unknown);
    answer.level = integer_or(fields, level_field, 0);
    answer.credits_left = integer_or(fields, credits_field, 0);
    answer.from_target = net::find_header(fields, from_target_field) == "1";
    const auto cause = parse_errc(net::find_header(fields, cause_field));
    if (cause != errc::ok) {
        answer.failure.code = cause;
        answer.failure.where = parse_step(net::find_header(fields, step_field));
        answer.failure.peer = net::find_header(fields, peer_field);
    }
    answer.retry_after = milliseconds(integer_or(fields, retry_after_field, 0));
    answer.message = std::move(message);
    net::remove_headers_with_prefix(answer.message.fields, reserved_header_prefix);
    return answer;
}

} // namespace lavenderhoist::node
