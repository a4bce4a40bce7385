#include "lavenderhoist/records/record.hpp"

#include <boost/json.hpp>

#include <array>

namespace lavenderhoist::records {
namespace {

namespace json = boost::json;

constexpr std::array<std::string_view, 3> kind_names{"configuration", "assignment", "contact"};

std::optional<kind> parse_kind(std::string_view name) {
    for (std::size_t i = 0; i < kind_names.size(); ++i) {
        if (kind_names[i] == name) {
            return static_cast<kind>(i);
        }
    }
    return std::nullopt;
}

std::string text_of(const json::object& source, std::string_view name) {
    const auto& text = source.at(name).as_string();
    return {text.data(), text.size()};
}

} // namespace

std::string_view to_string(kind what) noexcept {
    return kind_names[static_cast<std::size_t>(what)];
}

std::string encode(const record& content) {
    json::object object;
    object["id"] = content.id;
    object["kind"] = to_string(content.about.what);
    object["subject"] = content.about.subject;
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
        const auto what = parse_kind(text_of(object, "kind"));
        if (!what) {
            return std::nullopt;
        }
        record result;
        result.id = text_of(object, "id");
        result.about = {*what, text_of(object, "subject")};
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
