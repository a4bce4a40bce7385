#include "lavenderhoist/records/record.hpp"

#include <boost/json.hpp>

#include <array>

namespace lavenderhoist::records {
namespace {

namespace json = boost::json;

constexpr std::array<std::string_view, 3> type_names{"configuration", "assignment", "contact"};

std::optional<record_type> parse_type(std::string_view name) {
    for (std::size_t i = 0; i < type_names.size(); ++i) {
        if (type_names[i] == name) {
            return static_cast<record_type>(i);
        }
    }
    return std::nullopt;
}

std::string text_of(const json::object& source, std::string_view name) {
    const auto& text = source.at(name).as_string();
    return {text.data(), text.size()};
}

} // namespace

std::string_view to_string(record_type type) noexcept {
    return type_names[static_cast<std::size_t>(type)];
}

std::string encode(const record& content) {
    json::object object;
    object["id"] = content.id;
    object["kind"] = to_string(content.topic.type);
    object["subject"] = content.topic.subject;
    object["version"] = content.version;
    object["replaces"] = content.replaces;
    object["author"] = content.author;
    object["written_ms"] = content.written_ms;
    object["body"] = content.body;
    return json::serialize(object);
}

std::optional<record> decode(std::string_view payload) {
    json::error_code failed;
    const auto parsed = json::parse(payload, failed);
    if (failed || !parsed.is_object()) {
        return std::nullopt;
    }
    const auto& object = parsed.get_object();
    try {
        const auto type = parse_type(text_of(object, "kind"));
        if (!type) {
            return std::nullopt;
        }
        record result;
        result.id = text_of(object, "id");
        result.topic = {*type, text_of(object, "subject")};
        result.version = object.at("version").as_int64();
        result.replaces = object.at("replaces").as_int64();
        result.author = text_of(object, "author");
        result.written_ms = object.at("written_ms").as_int64();
        result.body = text_of(object, "body");
        return result;
    } catch (const std::exception&) {
        return std::nullopt; // a member is missing or has another type
    }
}

} // namespace lavenderhoist::records
