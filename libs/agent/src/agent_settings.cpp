#include "lavenderhoist/agent/agent_settings.hpp"

#include "lavenderhoist/config/internal/object_reader.hpp"

#include <boost/json.hpp>

namespace lavenderhoist::agent {
namespace {

using config::internal::integer_rule;
using config::internal::number_rule;
using config::internal::object_reader;

constexpr number_rule ratio_rule{0, 1, 0.2};
constexpr number_rule extra_rule{0, 100'000, 0};
constexpr integer_rule window_ms_rule{100, 600'000, 10'000};
constexpr integer_rule grace_ms_rule{100, 600'000, 6'000};
constexpr number_rule memory_mb_rule{64, 1'048'576, 1'024};

void read_listeners(object_reader& reader, agent_settings& settings) {
    settings.callers = reader.network_address("callers");
    settings.calls = reader.network_address("calls");
    settings.control = reader.network_address("control");
    settings.ready = reader.network_address("ready");
    settings.metrics = reader.network_address("metrics");
}

void read_retry_budget(object_reader& reader, agent_settings& settings) {
    settings.retry_ratio = reader.number("ratio", ratio_rule);
    settings.extra_retries = reader.number("extra", extra_rule);
    settings.retry_window = std::chrono::milliseconds(reader.integer("window_ms", window_ms_rule));
}

} // namespace

parsed_agent_settings parse_agent_settings(std::string_view text, std::string_view file) {
    agent_settings settings;
    std::vector<config::issue> element_issues;
    auto issues = config::internal::read_document(text, file, [&](object_reader& reader) {
        settings.id = reader.string("id");
        settings.data_centre = reader.string("data_centre");
        settings.service = reader.string("service");
        settings.target = reader.network_address("target");
        reader.child("listen", [&](object_reader& r) { read_listeners(r, settings); });
        settings.advertised_calls = reader.network_address("advertised_calls", settings.calls);
        settings.store = reader.network_address("store");
        reader.each("contacts", false, [&](const auto& element, const auto& path) {
            const auto* const text_value = element.if_string();
            const auto parsed = text_value == nullptr
                                    ? std::nullopt
                                    : config::parse_address(std::string_view(*text_value));
            if (parsed) {
                settings.contacts.push_back(*parsed);
                return;
            }
            element_issues.push_back(
                {std::string(file), path, boost::json::serialize(element), "\"IP:port\""});
        });
        settings.is_first_start = reader.boolean("first_start", false);
        settings.log_level = reader.one_of("log_level", {"info", "warning", "error"}, "info");
        reader.child("repeats", [&](object_reader& r) { read_retry_budget(r, settings); });
        settings.grace_period =
            std::chrono::milliseconds(reader.integer("grace_ms", grace_ms_rule));
        settings.memory_mb = reader.is_null("memory_mb")
                                 ? *memory_mb_rule.fallback
                                 : reader.number("memory_mb", memory_mb_rule);
    });
    issues.insert(issues.end(), element_issues.begin(), element_issues.end());
    if (!issues.empty()) {
        return issues;
    }
    return settings;
}

} // namespace lavenderhoist::agent
