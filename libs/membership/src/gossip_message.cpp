#include "lavenderhoist/membership/gossip_message.hpp"

#include <boost/json.hpp>

namespace lavenderhoist::membership {
namespace {

namespace json = boost::json;

std::string text_of(const json::value& value) {
    const auto& text = value.as_string();
    return {text.data(), text.size()};
}

// Members are encoded as arrays, since the names of their fields would be longer than the values:
// id, incarnation, process, state, data centre, control, calls [, service, generation, draining].
json::array encode_member(const member& info) {
    json::array fields{
        info.id,          info.incarnation,     info.process,     static_cast<int>(info.state),
        info.data_centre, info.control_address, info.call_address};
    if (info.target) {
        fields.emplace_back(info.target->service);
        fields.emplace_back(info.target->generation);
        fields.emplace_back(info.target->draining);
    }
    return fields;
}

constexpr std::size_t fields_without_target = 7;
constexpr std::size_t fields_with_target = 10;

member decode_member(const json::array& fields) {
    member info;
    info.id = text_of(fields.at(0));
    info.incarnation = fields.at(1).to_number<std::uint64_t>();
    info.process = fields.at(2).to_number<std::uint64_t>();
    const auto state = fields.at(3).to_number<unsigned>();
    if (state > static_cast<unsigned>(liveness::left)) {
        throw std::out_of_range("liveness");
    }
    info.state = static_cast<liveness>(state);
    info.data_centre = text_of(fields.at(4));
    info.control_address = text_of(fields.at(5));
    info.call_address = text_of(fields.at(6));
    if (fields.size() >= fields_with_target) {
        target_info target;
        target.service = text_of(fields.at(fields_without_target));
        target.generation = fields.at(fields_without_target + 1).to_number<std::uint64_t>();
        target.draining = fields.at(fields_without_target + 2).as_bool();
        info.target = std::move(target);
    }
    return info;
}

gossip_message decode_object(const json::object& object) {
    gossip_message message;
    message.from = text_of(object.at("from"));
    message.wall_ms = object.at("wall").to_number<std::int64_t>();
    message.record_digest = object.at("records").to_number<std::uint64_t>();
    const auto& parts = object.at("digest").as_array();
    for (std::size_t i = 0; i < digest_parts; ++i) {
        message.member_digest[i] = parts.at(i).to_number<std::uint64_t>();
    }
    for (const auto& fields : object.at("members").as_array()) {
        message.members.push_back(decode_member(fields.as_array()));
    }
    return message;
}

} // namespace

std::string encode(const gossip_message& message) {
    json::array parts;
    for (const auto part : message.member_digest) {
        parts.emplace_back(part);
    }
    json::array members;
    for (const auto& info : message.members) {
        members.emplace_back(encode_member(info));
    }
    json::object object;
    object["from"] = message.from;
    object["wall"] = message.wall_ms;
    object["records"] = message.record_digest;
    object["digest"] = std::move(parts);
    object["members"] = std::move(members);
    return json::serialize(object);
}

std::optional<gossip_message> decode_gossip(std::string_view text) {
    json::error_code failed;
    const auto parsed = json::parse(text, failed);
    if (failed || !parsed.is_object()) {
        return std::nullopt;
    }
    try {
        return decode_object(parsed.get_object());
    } catch (const std::exception&) {
        return std::nullopt; // a field is missing or has another type
    }
}

} // namespace lavenderhoist::membership
