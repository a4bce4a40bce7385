#include "lavenderhoist/agent/shared_state.hpp"

#include <boost/json.hpp>

#include <algorithm>

namespace lavenderhoist::agent {

namespace json = boost::json;

namespace {

/** Nodes of earlier versions send no era. */
std::int64_t era_of(const json::object& from) {
    const auto* const era = from.if_contains("era");
    return era == nullptr ? 0 : era->to_number<std::int64_t>();
}

std::optional<duration> age_of(const json::object& from) {
    const auto* const age = from.if_contains("configuration_age_ms");
    if (age == nullptr) {
        return std::nullopt;
    }
    constexpr milliseconds max_age = std::chrono::hours(1); // higher ones would overflow
    return std::clamp<milliseconds>(milliseconds(age->to_number<std::int64_t>()), milliseconds(0),
                                    max_age);
}

} // namespace

std::string encode(const shared_versions& versions) {
    json::object object{{"configuration", versions.configuration},
                        {"era", versions.position.era},
                        {"newest_host", versions.position.offset},
                        {"reads_store", versions.reads_store}};
    if (versions.configuration_age) {
        object["configuration_age_ms"] =
            std::chrono::ceil<milliseconds>(*versions.configuration_age).count();
    }
    return json::serialize(object);
}

std::optional<shared_versions> decode_versions(std::string_view text) {
    try {
        const auto parsed = json::parse(text);
        const auto& object = parsed.as_object();
        const auto* const reads_store = object.if_contains("reads_store");
        return shared_versions{object.at("configuration").to_number<std::uint64_t>(),
                               {era_of(object), object.at("newest_host").to_number<std::int64_t>()},
                               reads_store == nullptr || reads_store->as_bool(),
                               age_of(object)};
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

std::string encode_newer(const shared_state& state, const shared_versions& known) {
    json::array hosts;
    for (const auto& each : state.hosts) {
        if (each.position <= known.position) {
            continue;
        }
        hosts.push_back({{"era", each.position.era},
                         {"offset", each.position.offset},
                         {"record", mesh::encode(each.record)}});
    }
    const bool has_newer_configuration = state.configuration_version > known.configuration;
    return json::serialize(
        json::object{{"configuration", has_newer_configuration ? state.configuration : ""},
                     {"era", state.position.era},
                     {"newest_host", state.position.offset},
                     {"hosts", std::move(hosts)}});
}

std::optional<shared_state> decode_shared_state(std::string_view text) {
    try {
        const auto parsed = json::parse(text);
        const auto& object = parsed.as_object();
        shared_state state;
        state.configuration = object.at("configuration").as_string();
        if (const auto* const offset = object.if_contains("newest_host")) {
            state.position = {era_of(object), offset->to_number<std::int64_t>()};
        }
        for (const auto& each : object.at("hosts").as_array()) {
            const auto& host = each.as_object();
            const auto record = mesh::decode_host_record(host.at("record").as_string());
            if (record) {
                state.hosts.push_back({*record, {era_of(host), host.at("offset").as_int64()}});
            }
        }
        return state;
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

} // namespace lavenderhoist::agent
