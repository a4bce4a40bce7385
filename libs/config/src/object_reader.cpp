#include "lavenderhoist/config/internal/object_reader.hpp"

#include <boost/json.hpp>

#include <utility>

namespace lavenderhoist::config::internal {
namespace {

constexpr std::size_t max_shown_value_length = 60;

std::string shortened(const boost::json::value& value) {
    auto text = boost::json::serialize(value);
    if (text.size() > max_shown_value_length) {
        text.resize(max_shown_value_length);
        text += "...";
    }
    return text;
}

std::string range_text(const integer_rule& rule) {
    return "an integer from " + std::to_string(rule.min) + " to " + std::to_string(rule.max);
}

} // namespace

object_reader::object_reader(const boost::json::object& source, std::string file, std::string path,
                             std::vector<issue>& issues)
    : source_(source), file_(std::move(file)), path_(std::move(path)), issues_(issues) {}

std::string object_reader::path_of(std::string_view name) const {
    return path_ + "." + std::string(name);
}

const boost::json::value* object_reader::find(std::string_view name) {
    known_.emplace(name);
    return source_.if_contains(name);
}

void object_reader::report(std::string_view name, std::string value, std::string permitted) {
    issues_.push_back({file_, path_of(name), std::move(value), std::move(permitted)});
}

std::int64_t object_reader::integer(std::string_view name, const integer_rule& rule) {
    const auto* value = find(name);
    if (value == nullptr) {
        if (!rule.fallback) {
            report(name, "missing", range_text(rule));
        }
        return rule.fallback.value_or(rule.min);
    }
    const auto* number = value->if_int64();
    if (number == nullptr || *number < rule.min || *number > rule.max) {
        report(name, shortened(*value), range_text(rule));
        return rule.min;
    }
    return *number;
}

double object_reader::number(std::string_view name, const number_rule& rule) {
    const auto permitted =
        "a number from " + std::to_string(rule.min) + " to " + std::to_string(rule.max);
    const auto* value = find(name);
    if (value == nullptr) {
        if (!rule.fallback) {
            report(name, "missing", permitted);
        }
        return rule.fallback.value_or(rule.min);
    }
    boost::system::error_code failed;
    const double given = value->is_number() ? value->to_number<double>(failed) : rule.min - 1;
    if (failed || given < rule.min || given > rule.max) {
        report(name, shortened(*value), permitted);
        return rule.min;
    }
    return given;
}

std::string object_reader::string(std::string_view name, std::optional<std::string> fallback) {
    const auto* value = find(name);
    if (value == nullptr) {
        if (!fallback) {
            report(name, "missing", "a non-empty string");
        }
        return fallback.value_or("");
    }
    const auto* text = value->if_string();
    if (text == nullptr || text->empty()) {
        report(name, shortened(*value), "a non-empty string");
        return {};
    }
    return std::string(text->data(), text->size());
}

std::string object_reader::one_of(std::string_view name, const std::vector<std::string>& values,
                                  const std::string& fallback) {
    auto text = string(name, fallback);
    std::string permitted = "one of";
    for (const auto& value : values) {
        if (text == value) {
            return text;
        }
        permitted += " \"" + value + "\"";
    }
    report(name, "\"" + text + "\"", permitted);
    return fallback;
}

bool object_reader::is_null(std::string_view name) {
    const auto* value = find(name);
    return value != nullptr && value->is_null();
}

bool object_reader::boolean(std::string_view name, bool fallback) {
    const auto* value = find(name);
    if (value == nullptr) {
        return fallback;
    }
    if (!value->is_bool()) {
        report(name, shortened(*value), "true or false");
        return fallback;
    }
    return value->as_bool();
}

address object_reader::network_address(std::string_view name, std::optional<address> fallback) {
    if (fallback && find(name) == nullptr) {
        return *fallback;
    }
    const auto text = string(name);
    auto parsed = parse_address(text);
    if (!parsed && !text.empty()) {
        report(name, "\"" + text + "\"", "IP:port with a port from 1 to 65535");
    }
    return parsed.value_or(address{});
}

void object_reader::each(
    std::string_view name, bool required,
    const std::function<void(const boost::json::value&, const std::string&)>& read) {
    const auto* value = find(name);
    if (value == nullptr) {
        if (required) {
            report(name, "missing", "an array");
        }
        return;
    }
    const auto* array = value->if_array();
    if (array == nullptr || (required && array->empty())) {
        report(name, shortened(*value), required ? "a non-empty array" : "an array");
        return;
    }
    std::size_t index = 0;
    for (const auto& element : *array) {
        read(element, path_of(name) + "[" + std::to_string(index) + "]");
        ++index;
    }
}

void object_reader::child(std::string_view name, const std::function<void(object_reader&)>& read) {
    const auto* value = find(name);
    if (value == nullptr) {
        report(name, "missing", "an object");
        return;
    }
    read_element(*value, file_, path_of(name), issues_, read);
}

void object_reader::finish() {
    for (const auto& member : source_) {
        if (known_.contains(std::string_view(member.key()))) {
            continue;
        }
        report(member.key(), shortened(member.value()),
               "no such member; remove it or correct its name");
    }
}

std::vector<issue> read_document(std::string_view text, std::string_view file,
                                 const std::function<void(object_reader&)>& read) {
    std::vector<issue> issues;
    boost::json::error_code failed;
    const auto document = boost::json::parse(text, failed);
    if (failed) {
        issues.push_back({std::string(file), "$", failed.message(), "a JSON document"});
        return issues;
    }
    read_element(document, std::string(file), "$", issues, read);
    return issues;
}

void read_element(const boost::json::value& element, const std::string& file,
                  const std::string& path, std::vector<issue>& issues,
                  const std::function<void(object_reader&)>& read) {
    const auto* object = element.if_object();
    if (object == nullptr) {
        issues.push_back({file, path, shortened(element), "an object"});
        return;
    }
    object_reader reader(*object, file, path, issues);
    read(reader);
    reader.finish();
}

} // namespace lavenderhoist::config::internal
