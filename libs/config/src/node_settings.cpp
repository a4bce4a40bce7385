#include "lavenderhoist/config/node_settings.hpp"

#include "lavenderhoist/config/internal/object_reader.hpp"

#include <boost/json.hpp>

namespace lavenderhoist::config {
namespace {

using internal::integer_rule;
using internal::object_reader;
using std::chrono::milliseconds;

constexpr integer_rule entry_threads_rule{1, 64, 1};
constexpr integer_rule caller_connections_rule{1, 1'000'000, 20'000};
constexpr integer_rule body_bytes_rule{0, 64LL << 20U, 1LL << 20U};
constexpr integer_rule lease_ms_rule{200, 60'000, 3'000};
constexpr integer_rule outage_limit_ms_rule{1'000, 86'400'000, 1'800'000};
constexpr integer_rule clock_bound_ms_rule{1, 60'000, 500};
constexpr integer_rule clock_offset_ms_rule{-3'600'000, 3'600'000, 0};

void read_listeners(object_reader& reader, node_settings& settings) {
    settings.callers = reader.network_address("callers");
    settings.egress = reader.network_address("egress");
    settings.calls = reader.network_address("calls");
    settings.control = reader.network_address("control");
    settings.admin = reader.network_address("admin");
}

void read_contact(const boost::json::value& element, const std::string& file,
                  const std::string& path, node_settings& settings, std::vector<issue>& issues) {
    const auto* text = element.if_string();
    const auto parsed = text == nullptr ? std::nullopt : parse_address(*text);
    if (!parsed) {
        issues.push_back({file, path, boost::json::serialize(element), "\"IP:port\""});
        return;
    }
    settings.contacts.push_back(*parsed);
}

} // namespace

parsed_settings parse_node_settings(std::string_view text, std::string_view file) {
    node_settings settings;
    std::vector<issue> element_issues;
    auto issues = internal::read_document(text, file, [&](object_reader& reader) {
        settings.id = reader.string("id");
        settings.data_centre = reader.string("data_centre");
        reader.child("listen", [&](object_reader& r) { read_listeners(r, settings); });
        settings.log = reader.network_address("log");
        reader.each("contacts", false, [&](const auto& element, const auto& path) {
            read_contact(element, std::string(file), path, settings, element_issues);
        });
        settings.admin_token = reader.string("admin_token");
        settings.deployment_secret = reader.string("deployment_secret");
        settings.log_level = reader.one_of("log_level", {"info", "warning", "error"}, "info");
        settings.policy = reader.one_of("policy", {"on", "off"}, "on") == "on";
        settings.entry_threads =
            static_cast<int>(reader.integer("entry_threads", entry_threads_rule));
        settings.max_caller_connections =
            static_cast<int>(reader.integer("max_caller_connections", caller_connections_rule));
        settings.max_body_bytes =
            static_cast<std::size_t>(reader.integer("max_body_bytes", body_bytes_rule));
        settings.lease = milliseconds(reader.integer("lease_ms", lease_ms_rule));
        settings.outage_limit =
            milliseconds(reader.integer("outage_limit_ms", outage_limit_ms_rule));
        settings.clock_bound = milliseconds(reader.integer("clock_bound_ms", clock_bound_ms_rule));
        settings.clock_offset =
            milliseconds(reader.integer("clock_offset_ms", clock_offset_ms_rule));
    });
    issues.insert(issues.end(), element_issues.begin(), element_issues.end());
    if (!issues.empty()) {
        return issues;
    }
    return settings;
}

} // namespace lavenderhoist::config
