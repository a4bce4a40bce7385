#include "lavenderhoist/standin/target_settings.hpp"

#include "lavenderhoist/config/internal/object_reader.hpp"

#include <boost/json.hpp>

namespace lavenderhoist::standin {

using config::internal::integer_rule;
using config::internal::object_reader;

namespace {

constexpr integer_rule count_rule{1, 100'000, std::nullopt};
constexpr integer_rule queue_rule{0, 1'000'000, 1'000'000};
constexpr integer_rule time_rule{0, 600'000, 0};

} // namespace

parsed_target_settings parse_target_settings(std::string_view text, std::string_view file) {
    target_settings settings;
    std::vector<config::issue> element_issues;
    auto issues = config::internal::read_document(text, file, [&](object_reader& reader) {
        settings.id = reader.string("id");
        settings.service = reader.string("service");
        settings.listen = reader.network_address("listen");
        settings.admin = reader.network_address("admin");
        settings.egress = reader.network_address("egress");
        settings.slots = static_cast<int>(reader.integer("slots", count_rule));
        settings.connections = static_cast<int>(reader.integer("connections", count_rule));
        settings.queue = static_cast<int>(reader.integer("queue", queue_rule));
        settings.service_time = std::chrono::milliseconds(reader.integer("service_ms", time_rule));
        settings.cold_start = std::chrono::milliseconds(reader.integer("cold_start_ms", time_rule));
        reader.each("calls", false, [&](const auto& element, const auto& path) {
            config::internal::read_element(
                element, std::string(file), path, element_issues, [&](object_reader& r) {
                    settings.calls.push_back(
                        {r.string("prefix"), r.string("method"), r.string("path")});
                });
        });
    });
    issues.insert(issues.end(), element_issues.begin(), element_issues.end());
    if (!issues.empty()) {
        return issues;
    }
    return settings;
}

} // namespace lavenderhoist::standin
