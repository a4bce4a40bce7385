#include "world.hpp"

#include "lavenderhoist/harness/http.hpp"
#include "lavenderhoist/net/sleep.hpp"
#include "lavenderhoist/net/spawn.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <future>
#include <iostream>
#include <set>

namespace lavenderhoist::platform_test {

namespace json = boost::json;

namespace {

constexpr int grace_ms = 6'000;

std::string hexadecimal(int value) {
    std::array<char, 16> text{};
    std::snprintf(text.data(), text.size(), "%08x", static_cast<unsigned>(value));
    return text.data();
}

json::object to_json(const route_spec& route) {
    return {
        {"Name", "route-of" + route.prefix},
        {"RouteType", route.idempotent ? "idempotent" : "non_idempotent"},
        {"TargetLatencyMs", route.timeout_ms / 2},
        {"Priority", route.priority},
        {"AuthExempt", route.is_open},
        {"Match", {{"PathPrefix", route.prefix}}},
        {"Action", {{"Service", route.service}, {"TimeoutMs", route.timeout_ms}, {"Attempts", 2}}}};
}

boost::asio::awaitable<void> call_after(boost::asio::any_io_executor executor, duration delay,
                                        std::function<void()> work) {
    co_await net::sleep_for(std::move(executor), delay);
    work();
}

boost::asio::awaitable<void> complete(boost::asio::awaitable<int> work, std::promise<int>& done) {
    done.set_value(co_await std::move(work));
}

} // namespace

void world::after(duration delay, std::function<void()> work) {
    net::spawn(context_, call_after(context_.get_executor(), delay, std::move(work)));
}

bool wait_until(const std::function<bool()>& is_met, duration timeout) {
    return harness::wait_until(is_met, timeout);
}

world::world()
    : work_(context_.get_executor()),
      folder_(std::filesystem::temp_directory_path() /
              ("lh-platform-" + std::to_string(::getpid()) + "-" +
               std::to_string(runtime_clock::now().time_since_epoch().count()))) {
    std::filesystem::create_directories(folder_);
    const auto ports = free_ports(ports_.size() + 1);
    store_address_ = {"127.0.0.1", ports.back()};
    std::copy_n(ports.begin(), ports_.size(), ports_.begin());
    store_ = std::make_unique<platform::stub_store>(context_.get_executor(), store_address_);
    store_->start();
    thread_ = std::thread([this] { context_.run(); });
}

world::~world() {
    for (const auto& each : hosts_) {
        each->node.reset();
    }
    context_.stop();
    thread_.join();
    hosts_.clear();
    store_.reset();
    std::error_code ignored;
    if (std::getenv("LH_KEEP_LOGS") == nullptr) {
        std::filesystem::remove_all(folder_, ignored);
    }
}

std::vector<std::uint16_t> free_ports(std::size_t count) {
    boost::asio::io_context context;
    // All are held until the end: a port that is released may be assigned again at once.
    std::vector<net::tcp::acceptor> held;
    std::vector<std::uint16_t> ports;
    for (std::size_t i = 0; i < count; ++i) {
        held.push_back(net::listen(context.get_executor(), net::make_endpoint("127.0.0.1", 0)));
        ports.push_back(held.back().local_endpoint().port());
    }
    return ports;
}

void world::write_settings(host& which, const std::string& service,
                           const std::string& data_centre) {
    json::object settings{{"id", which.id},
                          {"data_centre", data_centre},
                          {"service", service},
                          {"target", config::to_string(which.target->settings().address)},
                          {"listen",
                           {{"callers", config::to_string(which.callers)},
                            {"calls", config::to_string(which.calls)},
                            {"control", config::to_string(which.control)},
                            {"ready", config::to_string(which.ready)},
                            {"metrics", config::to_string(which.metrics)}}},
                          {"advertised_calls", config::to_string(which.advertised_calls)},
                          {"store", which.callers.host + ":" + std::to_string(ports_[7])},
                          {"contacts", json::array{"127.0.0.2:" + std::to_string(ports_[2])}},
                          {"repeats", {{"ratio", 0.2}, {"extra", 48}, {"window_ms", 10'000}}},
                          {"grace_ms", grace_ms},
                          {"memory_mb", host_memory_mb_}};
    std::ofstream(which.settings_file) << json::serialize(settings);
}

host& world::add_host(const std::string& service, const std::string& data_centre,
                      std::vector<platform::stub_call> calls, duration service_time) {
    auto made = std::make_unique<host>();
    made->id = "host-" + std::to_string(hosts_.size() + 1);
    // As on the platform, hosts have different addresses and the same ports.
    const auto ip = "127.0.0." + std::to_string(hosts_.size() + 2);
    made->callers = {ip, ports_[0]};
    made->calls = {ip, ports_[1]};
    made->advertised_calls = {ip, ports_[8]};
    made->control = {ip, ports_[2]};
    made->ready = {ip, ports_[3]};
    made->metrics = {ip, ports_[4]};
    made->settings_file = folder_ + "/" + made->id + ".json";
    made->log_file = folder_ + "/" + made->id + ".log";
    platform::stub_backend_settings settings;
    settings.id = "target-" + std::to_string(hosts_.size() + 1);
    settings.service = service;
    settings.address = {ip, ports_[5]};
    settings.announced_address = {ip, ports_[6]};
    const config::address store_proxy{ip, ports_[7]};
    settings.node_control = made->control;
    settings.node_callers = made->callers;
    settings.service_time = service_time;
    settings.calls = std::move(calls);
    made->target = run_on_stub_thread([&] {
        return std::make_unique<platform::stub_backend>(context_.get_executor(), settings);
    });
    run_on_stub_thread([&] {
        made->to_target =
            std::make_unique<fault_proxy>(context_, settings.announced_address, settings.address);
        made->to_store = std::make_unique<fault_proxy>(context_, store_proxy, store_address_);
        made->to_node =
            std::make_unique<fault_proxy>(context_, made->advertised_calls, made->calls);
        made->to_target->start();
        made->to_store->start();
        made->to_node->start();
    });
    write_settings(*made, service, data_centre);
    start_node(*made);
    run_on_stub_thread([&] { made->target->start(); });
    hosts_.push_back(std::move(made));
    return *hosts_.back();
}

void world::start_node(host& which) {
    which.node = std::make_unique<harness::process>(
        std::vector<std::string>{std::string(LAVENDERHOIST_BINARIES) + "/lh-sidecar", "--settings",
                                 which.settings_file},
        which.log_file);
}

void world::publish(const std::vector<route_spec>& routes) {
    routes_ = routes;
    json::array rules;
    std::set<std::string> services;
    for (const auto& each : routes) {
        rules.push_back(to_json(each));
        services.insert(each.service);
    }
    json::array clusters;
    for (const auto& each : services) {
        clusters.push_back({{"Name", each}, {"HealthPath", "/health"}, {"MaxConnections", 100}});
    }
    json::object document{
        {"Version", hexadecimal(++version_)},
        {"Limits",
         {{"MaxHeaderBytes", 16'384},
          {"MaxBodyBytes", limits_.max_body_bytes},
          {"HeaderTimeoutMs", limits_.header_timeout_ms},
          {"IdleTimeoutMs", 5'000}}},
        {"Listeners", json::array{json::object{{"Host", host_name}, {"Rules", std::move(rules)}}}},
        {"Clusters", std::move(clusters)}};
    json::array tenants;
    for (const auto& each : organisations_) {
        json::array keys(each.keys.begin(), each.keys.end());
        tenants.push_back({{"Name", each.name},
                           {"ApiKeys", std::move(keys)},
                           {"RatePerS", each.quota_per_second},
                           {"Burst", each.quota_burst}});
    }
    if (!tenants.empty()) {
        document["Tenants"] = std::move(tenants);
    }
    run_on_stub_thread([&] { store_->put_configuration(json::serialize(document)); });
}

int world::ready_status(const host& which) {
    net::request message;
    message.method = "GET";
    message.path = "/api/readiness";
    const auto result = harness::call(which.ready, message, std::chrono::seconds(1));
    return result.code ? 0 : result.answer.status;
}

std::int64_t world::metric(const host& which, const std::string& name) {
    net::request message;
    message.method = "GET";
    message.path = "/metrics";
    const auto result = harness::call(which.metrics, message, std::chrono::seconds(1));
    const auto at = ("\n" + result.answer.body).find("\n" + name + " ");
    return at == std::string::npos ? -1 : std::atoll(result.answer.body.c_str() + at + name.size());
}

bool world::wait_until_ready(duration timeout) {
    const auto is_served = [this](const host& through) {
        return ready_status(through) == 200 &&
               metric(through, "hosts_known") == static_cast<std::int64_t>(hosts_.size()) &&
               std::ranges::all_of(routes_, [&](const route_spec& route) {
                   const auto result =
                       send_request(through, "GET", route.prefix + "settle", make_id());
                   return !result.code && result.answer.status == 200;
               });
    };
    const bool is_ready = wait_until(
        [&] {
            return std::ranges::all_of(hosts_, [&](const auto& each) {
                const bool is_listed = run_on_stub_thread(
                    [&] { return !store_->newest_host_record(each->id).empty(); });
                return is_listed && is_served(*each);
            });
        },
        timeout);
    if (!is_ready) {
        print_logs();
    }
    return is_ready;
}

void world::print_logs() const {
    for (const auto& each : hosts_) {
        std::cerr << "--- " << each->log_file << '\n' << std::ifstream(each->log_file).rdbuf();
    }
}

std::string world::make_id() {
    return "id" + std::to_string(++last_id_);
}

net::exchange_result world::send_request(const host& through, const std::string& method,
                                         const std::string& path, const std::string& id,
                                         int time_left_ms, const std::string& body) {
    net::request message;
    message.method = method;
    message.path = path;
    message.host = host_name;
    message.body = body;
    message.fields.push_back({"x-request-id", id});
    message.fields.push_back({"x-deadline-ms", std::to_string(time_left_ms)});
    if (!key_.empty()) {
        message.fields.push_back({"authorization", "Bearer " + key_});
    }
    return harness::call(through.callers, message,
                         milliseconds(time_left_ms) + std::chrono::seconds(1));
}

void world::send_and_disconnect(const host& through, const std::string& path, duration after) {
    net::request message;
    message.method = "GET";
    message.path = path;
    message.host = host_name;
    message.fields.push_back({"x-request-id", make_id()});
    message.fields.push_back({"x-deadline-ms", "2000"});
    harness::call(through.callers, message, after);
}

int world::await(const std::function<boost::asio::awaitable<int>()>& work) {
    std::promise<int> done;
    boost::asio::post(context_, [&] { net::spawn(context_, complete(work(), done)); });
    return done.get_future().get();
}

int world::executions(const std::string& id) {
    return run_on_stub_thread([&] {
        int count = 0;
        for (const auto& each : hosts_) {
            count += static_cast<int>(
                std::ranges::count_if(each->target->executions(), [&id](const auto& execution) {
                    return execution.request_id == id;
                }));
        }
        return count;
    });
}

} // namespace lavenderhoist::platform_test
