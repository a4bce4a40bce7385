#include "lavenderhoist/mesh/host_record.hpp"

#include <boost/json.hpp>

#include <array>
#include <stdexcept>

namespace lavenderhoist::mesh {
namespace {

namespace json = boost::json;

/** Far above the slots of real targets. */
constexpr std::int64_t max_slots = 1'000'000;

constexpr std::array<std::string_view, 4> state_names{"none", "ready", "leaving", "gone"};

std::optional<target_state> parse_state(std::string_view name) {
    for (std::size_t i = 0; i < state_names.size(); ++i) {
        if (state_names[i] == name) {
            return static_cast<target_state>(i);
        }
    }
    return std::nullopt;
}

std::string text_of(const json::object& from, std::string_view name) {
    return std::string(from.at(name).as_string());
}

host_record read_record(const json::object& from) {
    host_record record;
    record.id = text_of(from, "id");
    record.data_centre = text_of(from, "data_centre");
    record.call_address = config::parse_address(text_of(from, "calls")).value();
    record.service = text_of(from, "service");
    record.target_id = text_of(from, "target");
    record.target_started_at_ms = from.at("born_ms").as_int64();
    const auto slots = from.at("slots").as_int64();
    if (slots < 0 || slots > max_slots) {
        throw std::out_of_range("slots");
    }
    record.slots = static_cast<int>(slots);
    record.state = parse_state(text_of(from, "state")).value();
    record.node_stopping = from.at("stopping").as_bool();
    if (const auto* const quarantined = from.if_contains("quarantined")) {
        record.quarantined =
            quarantine::decode_suspicions(std::string_view(quarantined->as_string()))
                .value_or(std::vector<quarantine::suspicion>());
    }
    return record;
}

} // namespace

std::string_view to_string(target_state state) noexcept {
    return state_names[static_cast<std::size_t>(state)];
}

std::string encode(const host_record& record) {
    json::object object{{"id", record.id},
                        {"data_centre", record.data_centre},
                        {"calls", config::to_string(record.call_address)},
                        {"service", record.service},
                        {"target", record.target_id},
                        {"born_ms", record.target_started_at_ms},
                        {"slots", record.slots},
                        {"state", to_string(record.state)},
                        {"stopping", record.node_stopping}};
    if (!record.quarantined.empty()) {
        object["quarantined"] = quarantine::encode(record.quarantined);
    }
    return json::serialize(object);
}

std::optional<host_record> decode_host_record(std::string_view text) {
    try {
        return read_record(json::parse(text).as_object());
    } catch (const std::exception&) {
        return std::nullopt; // written by another program or another version
    }
}

} // namespace lavenderhoist::mesh
