#include "lavenderhoist/relay/stream_codec.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace lavenderhoist::relay {
namespace {

constexpr std::string_view internal_prefix = "lh-";
constexpr std::string_view load_path = "/lh/load";
constexpr int status_load = 200;
constexpr int first_status = 100;
constexpr int last_status = 599;
constexpr int status_failure = 503; // for streams without an answer of a target

template <typename Number>
std::optional<Number> parse(std::string_view text) {
    Number value{};
    const auto* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    if (parsed.ec != std::errc() || parsed.ptr != end) {
        return std::nullopt;
    }
    return value;
}

std::int64_t in_us(duration length) {
    return std::chrono::duration_cast<std::chrono::microseconds>(length).count();
}

/** Rates are sent in thousandths of a request per second; higher ones are sent as this one. */
constexpr double max_sent_rate = 1'000'000;
constexpr int rate_unit = 1'000;
constexpr int no_rate = -1;

int encode_rate(std::optional<double> per_second) {
    return per_second ? static_cast<int>(std::min(*per_second, max_sent_rate) * rate_unit)
                      : no_rate;
}

std::optional<double> decode_rate(int sent) {
    return sent < 0 ? std::nullopt : std::optional(static_cast<double>(sent) / rate_unit);
}

std::string encode_load(const load_report& load) {
    return std::to_string(load.limit) + ' ' + std::to_string(load.busy) + ' ' +
           std::to_string(load.level) + ' ' + std::to_string(in_us(load.service_time)) + ' ' +
           std::to_string(encode_rate(load.rate_limit)) + ' ' + std::to_string(load.rate_backlog) +
           ' ' + (load.is_leaving ? '1' : '0') + ' ' + std::to_string(in_us(load.run_time));
}

std::optional<load_report> parse_load(std::string_view text) {
    std::array<int, 8> values{0, 0, 0, 0, no_rate, 0, 0, 0};
    constexpr std::size_t required_values = 3; // nodes of earlier versions send fewer values
    for (std::size_t i = 0; i < values.size() && (i < required_values || !text.empty()); ++i) {
        const auto end = std::min(text.find(' '), text.size());
        const auto parsed = parse<int>(text.substr(0, end));
        if (!parsed) {
            return std::nullopt;
        }
        values.at(i) = *parsed;
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    load_report report{values[0], values[1], values[2], std::chrono::microseconds(values[3])};
    report.rate_limit = decode_rate(values[4]);
    report.rate_backlog = std::max(0, values[5]);
    report.is_leaving = values[6] != 0;
    report.run_time = std::chrono::microseconds(std::max(0, values[7]));
    return report;
}

std::optional<rate_hint> parse_rate_hint(std::string_view rate, std::string_view started_at_ms) {
    const auto sent = parse<int>(rate);
    const auto started = parse<std::int64_t>(started_at_ms);
    if (!sent || *sent < 0 || !started) {
        return std::nullopt;
    }
    return rate_hint{*decode_rate(*sent), *started};
}

std::optional<execution> parse_execution(std::string_view name) {
    for (const auto each : {execution::answered, execution::not_run, execution::unknown}) {
        if (to_string(each) == name) {
            return each;
        }
    }
    return std::nullopt;
}

} // namespace

net::request to_stream(const relay_request& request, time_point now) {
    auto message = request.message;
    auto& fields = message.fields;
    fields.push_back({"lh-id", request.id});
    fields.push_back({"lh-route", request.route});
    fields.push_back({"lh-service", request.service});
    fields.push_back({"lh-caller", request.caller});
    fields.push_back({"lh-left-us", std::to_string(in_us(request.deadline - now))});
    fields.push_back({"lh-objective-us", std::to_string(in_us(request.objective))});
    fields.push_back({"lh-importance", std::to_string(request.importance)});
    if (request.is_nested) {
        fields.push_back({"lh-under-way", "1"});
    }
    if (request.idempotent) {
        fields.push_back({"lh-repeatable", "1"});
    }
    if (request.is_retry) {
        fields.push_back({"lh-retry", "1"});
    }
    if (request.target_rate) {
        fields.push_back(
            {"lh-known-rate", std::to_string(encode_rate(request.target_rate->per_second))});
        fields.push_back(
            {"lh-known-start", std::to_string(request.target_rate->target_started_at_ms)});
    }
    return message;
}

std::optional<relay_request> from_stream(net::request message, time_point now) {
    const auto field = [&message](std::string_view name) {
        return net::find_header(message.fields, name);
    };
    relay_request request;
    request.id = field("lh-id");
    request.route = field("lh-route");
    request.service = field("lh-service");
    request.caller = field("lh-caller");
    request.is_nested = !field("lh-under-way").empty();
    request.idempotent = !field("lh-repeatable").empty();
    request.is_retry = !field("lh-retry").empty();
    request.target_rate = parse_rate_hint(field("lh-known-rate"), field("lh-known-start"));
    const auto left = parse<std::int64_t>(field("lh-left-us"));
    const auto objective = parse<std::int64_t>(field("lh-objective-us"));
    const auto importance = parse<int>(field("lh-importance"));
    if (request.id.empty() || request.service.empty() || !left || !objective || !importance) {
        return std::nullopt;
    }
    request.objective = std::chrono::microseconds(*objective);
    request.deadline = now + std::chrono::microseconds(*left);
    request.importance = *importance;
    net::remove_headers_with_prefix(message.fields, internal_prefix);
    request.message = std::move(message);
    return request;
}

net::response to_stream(relay_answer answer) {
    net::response message;
    message.status = status_failure;
    if (answer.result == execution::answered) {
        message = std::move(answer.message);
    }
    auto& fields = message.fields;
    fields.push_back({"lh-result", std::string(to_string(answer.result))});
    if (answer.failure) {
        fields.push_back({"lh-cause", answer.failure.code.message()});
        fields.push_back({"lh-step", std::string(to_string(answer.failure.where))});
    }
    if (answer.retry_after.count() > 0) {
        fields.push_back({"lh-retry-after-us", std::to_string(in_us(answer.retry_after))});
    }
    if (answer.reached_target) {
        fields.push_back({"lh-reached", "1"});
    }
    if (answer.load) {
        fields.push_back({"lh-load", encode_load(*answer.load)});
    }
    return message;
}

net::request make_load_query(const std::string& route) {
    net::request message;
    message.method = "GET";
    message.path = load_path;
    message.fields.push_back({"lh-route", route});
    return message;
}

std::optional<std::string> parse_load_query(const net::request& message) {
    if (message.path != load_path || !net::find_header(message.fields, "lh-id").empty()) {
        return std::nullopt;
    }
    return std::string(net::find_header(message.fields, "lh-route"));
}

net::response make_load_answer(const load_report& load) {
    net::response message;
    message.status = status_load;
    message.fields.push_back({"lh-load", encode_load(load)});
    return message;
}

std::optional<load_report> parse_load_answer(const net::exchange_result& result) {
    return result.code ? std::nullopt
                       : parse_load(net::find_header(result.answer.fields, "lh-load"));
}

relay_answer from_stream(net::exchange_result result, const std::string& peer) {
    if (result.code) {
        const auto proof = result.never_processed ? execution::not_run : execution::unknown;
        auto failed = make_failure(proof, errc::peer_lost, step::stream, peer);
        failed.reached_target = !result.never_processed;
        return failed;
    }
    auto& fields = result.answer.fields;
    const auto claimed = parse_execution(net::find_header(fields, "lh-result"));
    if (!claimed) {
        return make_failure(execution::unknown, errc::bad_answer, step::stream, peer);
    }
    relay_answer answer;
    answer.result = *claimed;
    answer.load = parse_load(net::find_header(fields, "lh-load"));
    answer.reached_target = !net::find_header(fields, "lh-reached").empty();
    if (answer.result != execution::answered) {
        answer.failure = {parse_errc(net::find_header(fields, "lh-cause")),
                          parse_step(net::find_header(fields, "lh-step")), peer};
        const auto wait = parse<std::int64_t>(net::find_header(fields, "lh-retry-after-us"));
        answer.retry_after = std::chrono::microseconds(wait.value_or(0));
        return answer;
    }
    if (result.answer.status < first_status || result.answer.status > last_status) {
        return make_failure(execution::unknown, errc::bad_answer, step::stream, peer);
    }
    net::remove_headers_with_prefix(fields, internal_prefix);
    answer.message = std::move(result.answer);
    return answer;
}

} // namespace lavenderhoist::relay
