// Latency and processor time that lavenderhoist adds to a call.

#include "bench.hpp"

#include <algorithm>
#include <array>

namespace lavenderhoist::bench {
namespace {

constexpr std::array<unsigned, 1> direct{0};
constexpr std::array<unsigned, 1> through{1};

harness::deployment_spec small(bool policy, bool two_hops) {
    harness::deployment_spec spec;
    for (const auto* const name : {"a", "b", "c"}) {
        harness::service_spec service;
        service.name = name;
        service.targets = 1;
        service.slots = 100;
        service.connections = 400;
        service.service_ms = 2;
        if (two_hops && std::string(name) != "c") {
            const std::string callee = std::string(name) == "a" ? "b" : "c";
            service.calls = {boost::json::object{
                {"prefix", "/chain"}, {"method", "GET"}, {"path", "/" + callee + "/chain"}}};
        }
        spec.services.push_back(service);
    }
    spec.policy = policy;
    spec.configuration =
        R"({"deployment": "bench", "classes": )" + classes_json() + R"(, "services": [)";
    for (const auto* const name : {"a", "b", "c"}) {
        spec.configuration +=
            std::string(std::string(name) == "a" ? "" : ",") + R"({"name": ")" + name +
            R"(", "slots": 100, "connections": 400, "routes": [{"prefix": "/", "class": "read"}]})";
    }
    spec.configuration += "]}";
    return spec;
}

/** Measures one stream sent directly to a target and one sent through a node, in turn. */
std::array<load::summary, 2> alternate(const harness::host& host, const std::string& path,
                                       double rate, std::uint64_t seed) {
    // Short alternating rounds: both streams see the machine in the same state and do not compete
    // for it.
    std::array<std::vector<load::sample>, 2> samples;
    constexpr int rounds = 3;
    constexpr duration round_length = std::chrono::milliseconds(1'500);
    for (int i = 0; i < rounds * 2; ++i) {
        const bool is_through = i % 2 == 1;
        load::plan plan;
        const auto stream = make_stream("calls", "GET", is_through ? "/a" + path : path, rate);
        plan.streams = {stream};
        const auto& where = is_through ? host.callers : host.target;
        plan.entries = {net::make_endpoint(where.host, where.port)};
        plan.length = round_length;
        plan.seed = seed + static_cast<std::uint64_t>(i);
        auto part = run_load(plan);
        for (auto& one : part) {
            one.stream = is_through ? 1 : 0;
        }
        auto& all = samples[is_through ? 1 : 0];
        all.insert(all.end(), part.begin(), part.end());
    }
    // Excludes the first 0.5 s of each round, in which connections are opened: callers keep theirs
    // open.
    constexpr duration warm_up_time = std::chrono::milliseconds(500);
    return {load::summarise(samples[0], direct, warm_up_time, round_length),
            load::summarise(samples[1], through, warm_up_time, round_length)};
}

/** Sends load for 2 s so that the limit grows and connections are open. */
void warm_up(const harness::host& host) {
    load::plan plan;
    plan.streams = {make_stream("calls", "GET", "/a/one", 300)};
    plan.entries = {net::make_endpoint(host.callers.host, host.callers.port)};
    plan.length = std::chrono::seconds(2);
    run_load(plan);
}

void measure_at(const settings& run_settings, bool policy, double rate) {
    harness::deployment where(run_settings.binaries, small(policy, false));
    if (!where.start()) {
        print_line("  the deployment did not start");
        return;
    }
    auto& host = *where.hosts_of("a").front();
    warm_up(host);
    const auto used_before = harness::usage_of(host.node->id());
    const auto seen = alternate(host, "/one", rate, run_settings.seeds.front());
    const auto used =
        harness::usage_of(host.node->id()).processor_seconds - used_before.processor_seconds;
    const double calls = rate * 4.5; // three rounds of 1.5 s
    print_line("  1 hop, " + format_number(rate, 0) + "/s, policy " + (policy ? "on" : "off") +
               ": direct p50 " + format_number(seen[0].p50_ms, 3) + " p99 " +
               format_number(seen[0].p99_ms, 3) + " ms; through p50 " +
               format_number(seen[1].p50_ms, 3) + " p99 " + format_number(seen[1].p99_ms, 3) +
               " ms; good " + std::to_string(seen[1].good) + "/" + std::to_string(seen[1].sent) +
               "; node " + format_number(used / calls * 1e6, 0) +
               " us of processor a call (entry and target's node in one)");
    if (policy) {
        const double added = seen[1].p99_ms - seen[0].p99_ms;
        report({"added at the 99th percentile, ms", "<= 1", added, added <= 1});
    }
}

void measure_chain(const settings& run_settings, double rate) {
    harness::deployment where(run_settings.binaries, small(true, true));
    if (!where.start()) {
        print_line("  the deployment did not start");
        return;
    }
    auto& host = *where.hosts_of("a").front();
    warm_up(host);
    load::plan plan;
    plan.streams = {make_stream("calls", "GET", "/a/chain", rate)};
    plan.entries = {net::make_endpoint(host.callers.host, host.callers.port)};
    plan.length = std::chrono::seconds(5);
    const auto samples = run_load(plan);
    const std::array<unsigned, 1> only{0};
    const auto seen = load::summarise(samples, only, std::chrono::seconds(1), plan.length);
    // Three targets work 2 ms each in sequence; the remaining time is the overhead of three calls.
    const auto single = alternate(host, "/one", rate, run_settings.seeds.front());
    const double added = (seen.p99_ms - 3 * single[0].p99_ms) / 3;
    print_line("  3 hops, " + format_number(rate, 0) + "/s, policy on: p50 " +
               format_number(seen.p50_ms, 3) + " p99 " + format_number(seen.p99_ms, 3) +
               " ms; one target directly p99 " + format_number(single[0].p99_ms, 3) + " ms; good " +
               std::to_string(seen.good) + "/" + std::to_string(seen.sent));
    report({"added a call at the 99th percentile, ms", "<= 1", added, added <= 1});
}

void measure_max_rate(const settings& run_settings, bool policy) {
    harness::deployment where(run_settings.binaries, small(policy, false));
    if (!where.start()) {
        return;
    }
    auto& host = *where.hosts_of("a").front();
    double sustained_rate = 0;
    for (const double rate :
         {1'000.0, 2'000.0, 3'000.0, 4'000.0, 5'000.0, 6'000.0, 8'000.0, 10'000.0}) {
        load::plan plan;
        plan.streams = {make_stream("calls", "GET", "/a/one", rate)};
        plan.entries = {net::make_endpoint(host.callers.host, host.callers.port)};
        plan.length = std::chrono::seconds(4);
        const auto samples = run_load(plan);
        const std::array<unsigned, 1> only{0};
        const auto seen = load::summarise(samples, only, std::chrono::seconds(1), plan.length);
        const bool is_sustained =
            static_cast<double>(seen.good) >= 0.99 * static_cast<double>(seen.sent) &&
            seen.p99_ms < 50;
        if (!is_sustained) {
            break;
        }
        sustained_rate = rate;
    }
    print_line("  largest rate held by one node, policy " + std::string(policy ? "on" : "off") +
               ": " + format_number(sustained_rate, 0) + "/s (99% good, p99 below 50 ms)");
}

} // namespace

int measure_overhead(const settings& run_settings) {
    for (const double rate : {100.0, 500.0, 1'500.0}) {
        measure_at(run_settings, true, rate);
        measure_at(run_settings, false, rate);
    }
    measure_chain(run_settings, 100);
    measure_chain(run_settings, 300);
    measure_max_rate(run_settings, true);
    measure_max_rate(run_settings, false);
    return checks_not_met() == 0 ? 0 : 1;
}

} // namespace lavenderhoist::bench
