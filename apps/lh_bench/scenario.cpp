#include "scenario.hpp"

#include <algorithm>
#include <cmath>

namespace lavenderhoist::bench {

namespace json = boost::json;

harness::deployment_spec single_service(bool policy) {
    harness::deployment_spec spec;
    harness::service_spec permits;
    permits.name = "permits";
    permits.targets = 2;
    permits.slots = 10;
    permits.connections = 200;
    permits.service_ms = 40;
    spec.services = {permits};
    spec.spare_nodes = 2;
    spec.policy = policy;
    spec.configuration =
        R"({"deployment": "bench", "classes": )" + classes_json() +
        R"(, "services": [{"name": "permits", "slots": 10, "connections": 200, "routes": [
                           {"method": "POST", "prefix": "/", "class": "order"},
                           {"method": "GET", "prefix": "/", "class": "read"}]}]})";
    return spec;
}

harness::deployment_spec chain(bool policy) {
    const std::array<std::string, 5> names{"a", "b", "c", "d", "e"};
    harness::deployment_spec spec;
    json::array services;
    for (std::size_t i = 0; i < names.size(); ++i) {
        harness::service_spec service;
        service.name = names[i];
        service.targets = names[i] == "e" ? 1 : 2;
        service.slots = names[i] == "d" ? 10 : 80;
        service.connections = 400;
        service.service_ms = names[i] == "d" ? 80 : 5;
        if (i < 3) {
            const auto& callee = names[i + 1];
            service.calls = {
                json::object{
                    {"prefix", "/order"}, {"method", "POST"}, {"path", "/" + callee + "/order"}},
                json::object{
                    {"prefix", "/view"}, {"method", "GET"}, {"path", "/" + callee + "/view"}}};
        }
        spec.services.push_back(service);
        services.emplace_back(json::object{
            {"name", service.name},
            {"slots", service.slots},
            {"connections", service.connections},
            {"routes",
             json::array{json::object{{"method", "POST"}, {"prefix", "/"}, {"class", "order"}},
                         json::object{{"method", "GET"}, {"prefix", "/"}, {"class", "read"}}}}});
    }
    spec.policy = policy;
    spec.configuration = json::serialize(json::object{{"deployment", "bench"},
                                                      {"classes", json::parse(classes_json())},
                                                      {"services", std::move(services)}});
    return spec;
}

bool start(harness::deployment& where, bool policy) {
    if (!where.start()) {
        print_line("  the deployment did not start");
        return false;
    }
    const bool is_ready =
        !policy || harness::wait_until(
                       [&] {
                           std::map<std::string, std::size_t> sizes;
                           for (const auto& one : where.hosts()) {
                               sizes[one.service] += one.service.empty() ? 0 : 1;
                           }
                           return std::ranges::all_of(sizes, [&](const auto& item) {
                               return item.first.empty() ||
                                      where.has_ready_orders(item.first, item.second);
                           });
                       },
                       std::chrono::seconds(20));
    if (!is_ready) {
        print_line("  orders were not ready on all owners within 20 s");
    }
    return is_ready;
}

std::string describe(const load::summary& seen) {
    std::string reasons;
    for (const auto& [reason, count] : seen.reasons) {
        reasons += (reasons.empty() ? "; " : ", ") + reason + " " + std::to_string(count);
    }
    return "goodput " + format_number(seen.goodput) + "/s of " + std::to_string(seen.sent) +
           " sent, refused " + std::to_string(seen.refused) + ", unknown " +
           std::to_string(seen.unknown) + ", lost " + std::to_string(seen.lost) + ", wrong " +
           std::to_string(seen.wrong) + ", p50 " + format_number(seen.p50_ms) + " ms, p99 " +
           format_number(seen.p99_ms) + " ms" + reasons;
}

/** Executions per key over all targets of a service. */
std::map<std::string, int> runs_by_key(const harness::deployment& where,
                                       const std::vector<harness::host*>& hosts) {
    std::map<std::string, int> runs;
    for (const auto* const one : hosts) {
        const auto record = where.target_get(*one, "/_stub/record");
        if (!record.is_object()) {
            continue;
        }
        for (const auto& execution : record.at("executions").as_array()) {
            const auto& key = execution.at(0).as_string();
            if (!key.empty()) {
                ++runs[std::string(key)];
            }
        }
    }
    return runs;
}

int max_runs(const std::map<std::string, int>& runs) {
    int result = 0;
    for (const auto& [key, count] : runs) {
        result = std::max(result, count);
    }
    return result;
}

/** Number of orders that ran although their answer stated that they had not. */
int false_refusals(const std::vector<load::sample>& samples,
                   const std::map<std::string, int>& runs) {
    int count = 0;
    for (const auto& one : samples) {
        count +=
            one.end == load::ending::refused && one.attempts == 1 && runs.contains(one.key) ? 1 : 0;
    }
    return count;
}

std::size_t executions(const harness::deployment& where, const std::vector<harness::host*>& hosts) {
    std::size_t total = 0;
    for (const auto* const one : hosts) {
        const auto status = where.target_get(*one, "/_stub/status");
        if (status.is_object()) {
            total += status.at("executions").to_number<std::size_t>();
        }
    }
    return total;
}

/** Time from `from` until the goodput of a window reaches `level` and stays there for three
 * windows. */
double settling_seconds(const std::vector<double>& windows, duration window, duration from,
                        double level) {
    const auto first = static_cast<std::size_t>(from / window);
    for (auto i = first; i + 2 < windows.size(); ++i) {
        if (windows[i] >= level && windows[i + 1] >= level && windows[i + 2] >= level) {
            return std::chrono::duration<double>(window).count() * static_cast<double>(i - first);
        }
    }
    return INFINITY;
}

double good_fraction(const load::summary& seen) {
    return static_cast<double>(seen.good) /
           static_cast<double>(std::max<std::size_t>(1, seen.sent));
}

void report_executions(const harness::deployment& where, const std::vector<harness::host*>& hosts,
                       const std::vector<load::sample>& samples) {
    const auto runs = runs_by_key(where, hosts);
    report({"most runs of one order", "<= 1", static_cast<double>(max_runs(runs)),
            max_runs(runs) <= 1});
    const auto false_claims = static_cast<double>(false_refusals(samples, runs));
    report({"orders told not to have run that ran", "0", false_claims, false_claims == 0});
}

} // namespace lavenderhoist::bench
