#include "lavenderhoist/quota/usage_report.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <cmath>

namespace lavenderhoist::quota {

namespace json = boost::json;

namespace {

/** Counts beyond this would overflow in sums. */
constexpr std::int64_t max_count = std::int64_t{1} << 40;

constexpr std::size_t numbers_per_organisation = 4;

std::optional<usage_report::counts> decode_counts(const json::value& from) {
    const auto* const list = from.if_array();
    if (list == nullptr || list->size() != numbers_per_organisation) {
        return std::nullopt;
    }
    std::array<std::int64_t, numbers_per_organisation> numbers{};
    for (std::size_t i = 0; i < numbers.size(); ++i) {
        boost::system::error_code failed;
        const auto& value = (*list)[i];
        numbers[i] = value.is_number() ? value.to_number<std::int64_t>(failed) : -1;
        if (failed || numbers[i] < 0 || numbers[i] > max_count) {
            return std::nullopt;
        }
    }
    return usage_report::counts{{numbers[0], numbers[1]}, {numbers[2], numbers[3]}};
}

std::optional<allowance> decode_allowance(const json::value& from) {
    const auto* const list = from.if_array();
    if (list == nullptr || list->size() != 2 || !(*list)[0].is_number() ||
        !(*list)[1].is_number()) {
        return std::nullopt;
    }
    boost::system::error_code failed;
    const allowance read{(*list)[0].to_number<double>(failed),
                         (*list)[1].to_number<double>(failed)};
    const bool is_in_range = read.share >= 0 && read.share <= 1 && std::isfinite(read.left);
    return failed || !is_in_range ? std::nullopt : std::optional(read);
}

std::optional<json::object> parse_object(std::string_view text) {
    boost::system::error_code failed;
    auto parsed = json::parse(text, failed);
    if (failed || !parsed.is_object()) {
        return std::nullopt;
    }
    return std::move(parsed.get_object());
}

const json::string* text_of(const json::object& from, std::string_view name) {
    const auto* const found = from.if_contains(name);
    return found == nullptr ? nullptr : found->if_string();
}

} // namespace

std::string encode(const usage_report& report) {
    json::object organisations;
    for (const auto& [name, each] : report.organisations) {
        organisations[name] = json::array{each.total.asked, each.total.admitted, each.recent.asked,
                                          each.recent.admitted};
    }
    return json::serialize(json::object{{"origin", report.origin},
                                        {"source", report.source},
                                        {"is_data_centre", report.is_data_centre},
                                        {"organisations", std::move(organisations)}});
}

std::optional<usage_report> decode_usage_report(std::string_view text) {
    const auto object = parse_object(text);
    const auto* const origin = object ? text_of(*object, "origin") : nullptr;
    const auto* const source = object ? text_of(*object, "source") : nullptr;
    const auto* const organisations = object ? object->if_contains("organisations") : nullptr;
    if (origin == nullptr || source == nullptr || organisations == nullptr ||
        !organisations->is_object()) {
        return std::nullopt;
    }
    usage_report report{std::string(*origin), std::string(*source), false, {}};
    const auto* const is_data_centre = object->if_contains("is_data_centre");
    report.is_data_centre =
        is_data_centre != nullptr && is_data_centre->is_bool() && is_data_centre->get_bool();
    for (const auto& member : organisations->get_object()) {
        if (const auto counts = decode_counts(member.value())) {
            report.organisations.emplace(member.key(), *counts);
        }
    }
    return report;
}

std::string encode(const allowances& found) {
    json::object object;
    for (const auto& [name, each] : found) {
        object[name] = json::array{each.share, each.left};
    }
    return json::serialize(object);
}

std::optional<allowances> decode_allowances(std::string_view text) {
    const auto object = parse_object(text);
    if (!object) {
        return std::nullopt;
    }
    allowances found;
    for (const auto& member : *object) {
        if (const auto decoded = decode_allowance(member.value())) {
            found.emplace(member.key(), *decoded);
        }
    }
    return found;
}

} // namespace lavenderhoist::quota
