#include "fixture.hpp"

#include "lavenderhoist/core/clock.hpp"
#include "lavenderhoist/core/key.hpp"

#include <random>

namespace lavenderhoist::system_test {

namespace json = boost::json;

std::string binaries() {
    return LAVENDERHOIST_BINARIES;
}

std::string chain_configuration(int read_deadline_ms) {
    return R"({"deployment": "test", "classes": [
        {"name": "read", "rank": 1, "deadline_ms": )" +
           std::to_string(read_deadline_ms) + R"(, "retry_credits": 1},
        {"name": "order", "rank": 5, "deadline_ms": 3000, "retry_credits": 2, "must_not_repeat": true}],
      "services": [
        {"name": "permits", "slots": 20, "connections": 100, "routes": [
            {"method": "POST", "prefix": "/permits", "class": "order"},
            {"method": "GET", "prefix": "/", "class": "read"}]},
        {"name": "barriers", "slots": 20, "connections": 100, "routes": [
            {"method": "POST", "prefix": "/orders", "class": "order"},
            {"method": "GET", "prefix": "/", "class": "read"}]}]})";
}

harness::deployment_spec chain_of_two() {
    harness::deployment_spec spec;
    harness::service_spec permits;
    permits.name = "permits";
    permits.targets = 2;
    permits.slots = 20;
    permits.service_ms = 5;
    permits.calls = {
        json::object{{"prefix", "/permits"}, {"method", "POST"}, {"path", "/barriers/orders"}},
        json::object{{"prefix", "/chain"}, {"method", "GET"}, {"path", "/barriers/status"}}};
    harness::service_spec barriers;
    barriers.name = "barriers";
    barriers.targets = 3;
    barriers.slots = 20;
    barriers.service_ms = 5;
    spec.services = {permits, barriers};
    spec.configuration = chain_configuration();
    return spec;
}

net::exchange_result send_request(const harness::host& through, const std::string& method,
                                  const std::string& path, const std::string& body,
                                  net::headers fields) {
    const net::request message{method, path, std::move(fields), body};
    return harness::call(through.callers, message, std::chrono::seconds(10));
}

std::string outcome_of(const net::exchange_result& result) {
    return std::string(net::find_header(result.answer.fields, "lh-outcome"));
}

std::string make_key(milliseconds shift) {
    static std::mt19937_64 random(std::random_device{}());
    return key::make(wall_time() + shift, {random(), random()}).to_string();
}

int executions_of(harness::deployment& deployment, const std::string& service,
                  const std::string& key) {
    int count = 0;
    for (const auto* const one : deployment.hosts_of(service)) {
        const auto record = deployment.target_get(*one, "/_stub/record");
        if (!record.is_object()) {
            continue;
        }
        for (const auto& execution : record.at("executions").as_array()) {
            count += execution.at(0).as_string() == key ? 1 : 0;
        }
    }
    return count;
}

} // namespace lavenderhoist::system_test
