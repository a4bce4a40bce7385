#include "lavenderhoist/order_service/order_registry.hpp"

#include <boost/json.hpp>

namespace lavenderhoist::node {
namespace {

namespace json = boost::json;

std::string text_of(const json::value& value) {
    const auto& text = value.as_string();
    return {text.data(), text.size()};
}

json::object encode_entry(const orders::key_table::exported& entry) {
    json::array fields;
    for (const auto& [name, value] : entry.result.fields) {
        fields.emplace_back(json::array{name, value});
    }
    return {{"key", entry.order.to_string()},  {"caller", entry.identity.caller},
            {"digest", entry.identity.digest}, {"outcome", to_string(entry.result.result)},
            {"status", entry.result.status},   {"fields", std::move(fields)},
            {"body", entry.result.body},       {"has_answer", entry.result.has_answer}};
}

orders::key_table::exported decode_entry(const json::object& object) {
    orders::key_table::exported entry;
    const auto order = key::parse(text_of(object.at("key")));
    const auto result = parse_outcome(text_of(object.at("outcome")));
    if (!order || !result) {
        throw std::invalid_argument("key or outcome");
    }
    entry.order = *order;
    entry.identity = {text_of(object.at("caller")), object.at("digest").to_number<std::uint64_t>()};
    entry.result.result = *result;
    entry.result.status = object.at("status").to_number<int>();
    for (const auto& field : object.at("fields").as_array()) {
        entry.result.fields.emplace_back(text_of(field.at(0)), text_of(field.at(1)));
    }
    entry.result.body = text_of(object.at("body"));
    entry.result.has_answer = object.at("has_answer").as_bool();
    return entry;
}

} // namespace

std::string encode(const hand_over& value) {
    json::array keys;
    for (const auto& entry : value.keys) {
        keys.emplace_back(encode_entry(entry));
    }
    return json::serialize(json::object{{"service", value.service},
                                        {"epoch", value.epoch},
                                        {"from", value.from.id},
                                        {"process", value.from.process},
                                        {"horizon", value.horizon.count()},
                                        {"keys", std::move(keys)}});
}

std::optional<hand_over> decode_hand_over(std::string_view text) {
    json::error_code failed;
    json::parse_options options;
    options.allow_invalid_utf8 = true; // answers of targets may contain any bytes
    const auto parsed = json::parse(text, failed, {}, options);
    if (failed || !parsed.is_object()) {
        return std::nullopt;
    }
    try {
        hand_over result;
        result.service = text_of(parsed.at("service"));
        result.epoch = parsed.at("epoch").to_number<std::int64_t>();
        result.from = {text_of(parsed.at("from")), parsed.at("process").to_number<std::uint64_t>()};
        result.horizon = milliseconds(parsed.at("horizon").to_number<std::int64_t>());
        for (const auto& entry : parsed.at("keys").as_array()) {
            result.keys.push_back(decode_entry(entry.as_object()));
        }
        return result;
    } catch (const std::exception&) {
        return std::nullopt; // a member is missing or has the wrong type
    }
}

} // namespace lavenderhoist::node
