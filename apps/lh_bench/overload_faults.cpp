// One target that fails, a request that kills targets, two triggers together.

#include "scenario.hpp"

#include <algorithm>

namespace lavenderhoist::bench {
namespace {

std::string to_string(target_fault fault) {
    switch (fault) {
    case target_fault::dies:
        return "dies";
    case target_fault::hangs:
        return "hangs";
    case target_fault::sheds:
        return "sheds while its health says ok";
    }
    return "";
}

} // namespace

void measure_target_fault(const settings& with, std::uint64_t seed, bool policy,
                          target_fault fault) {
    auto spec = single_service(policy);
    spec.services[0].targets = 4;
    harness::deployment where(with.binaries, spec);
    if (!start(where, policy)) {
        return;
    }
    const double demand = single_capacity; // half of the capacity of four targets
    load::plan plan;
    plan.streams = {make_stream("read", "GET", "/permits/view", demand * (1 - order_share)),
                    make_stream("order", "POST", "/permits/order", demand * order_share)};
    // Callers leave a dead entry by themselves; this measures what becomes of the others' requests.
    auto& victim = *where.hosts_of("permits").front();
    for (const auto& one : where.hosts()) {
        if (&one != &victim) {
            plan.entries.push_back(net::make_endpoint(one.callers.host, one.callers.port));
        }
    }
    plan.length = std::chrono::seconds(14);
    plan.seed = seed;
    constexpr duration fault_at = std::chrono::seconds(4);
    const auto samples = run_load(plan, [&] {
        const auto began = runtime_clock::now();
        wait_until_run_time(began, fault_at);
        if (fault == target_fault::dies) {
            victim.stub->kill();
            victim.node->kill();
        } else {
            where.set_target_faults(victim, fault == target_fault::hangs ? R"({"hang": true})"
                                                                         : R"({"refuse": true})");
        }
    });
    constexpr duration window = std::chrono::milliseconds(250);
    const auto before = load::summarise(samples, both, std::chrono::seconds(1), fault_at);
    const auto read_after = load::summarise(samples, reads, fault_at, plan.length);
    const auto order_after = load::summarise(samples, orders, fault_at, plan.length);
    const auto goodput = load::goodput_over_time(samples, both, window, plan.length);
    const double recovers = settling_seconds(goodput, window, fault_at, 0.9 * before.goodput);
    say("  one of four targets " + to_string(fault) + ", policy " + (policy ? "on" : "off") +
        ", seed " + std::to_string(seed));
    say("    before: " + describe(before));
    say("    reads after:  " + describe(read_after));
    say("    orders after: " + describe(order_after));
    say("    goodput back at 90% after " + shown(recovers, 2) + " s");
    if (!policy) {
        return;
    }
    report_executions(where, where.hosts_of("permits"), samples);
}

// A request that kills its target.

void measure_poison(const settings& with, bool policy) {
    auto spec = single_service(policy);
    spec.services[0].targets = 4;
    harness::deployment where(with.binaries, spec);
    if (!start(where, policy)) {
        return;
    }
    for (const auto* const one : where.hosts_of("permits")) {
        where.set_target_faults(*one, R"({"poison": "deadly"})");
    }
    int sent = 0;
    for (int i = 0; i < 20; ++i) {
        const auto entry =
            where.hosts()[static_cast<std::size_t>(i) % where.hosts().size()].callers;
        const net::request message{"GET", "/permits/view", {{"lh-timeout-ms", "800"}}, "deadly"};
        harness::call(entry, message);
        ++sent;
        harness::pause_for(std::chrono::milliseconds(100));
    }
    int deaths = 0;
    for (const auto* const one : where.hosts_of("permits")) {
        deaths += one->stub->is_running() ? 0 : 1;
    }
    say("  poisoned read sent " + std::to_string(sent) + " times, policy " +
        (policy ? "on" : "off") + ": " + std::to_string(deaths) + " of 4 targets died");
    if (policy) {
        report({"target deaths by one poisoned request", "<= 2", static_cast<double>(deaths),
                deaths <= 2});
    }
}

// Two triggers together.

void measure_two_triggers(const settings& with, std::uint64_t seed) {
    harness::deployment where(with.binaries, single_service(true));
    if (!start(where, true)) {
        return;
    }
    load::plan plan;
    const double normal = single_capacity * 0.5;
    plan.streams = {make_stream("read", "GET", "/permits/view", normal * (1 - order_share)),
                    make_stream("order", "POST", "/permits/order", normal * order_share)};
    constexpr duration trigger_at = std::chrono::seconds(4);
    constexpr duration trigger_end = std::chrono::seconds(12);
    for (auto& stream : plan.streams) {
        stream.changes = {{trigger_at, 6}, {trigger_end, 1}};
    }
    plan.entries = where.entries();
    plan.length = std::chrono::seconds(16);
    plan.seed = seed;
    const auto samples = run_load(plan, [&] {
        const auto began = runtime_clock::now();
        wait_until_run_time(began, trigger_at);
        where.set_log_faults(R"({"outage": true})");
        wait_until_run_time(began, trigger_end);
        where.set_log_faults("{}");
    });
    const auto order =
        load::summarise(samples, orders, trigger_at + std::chrono::seconds(1), trigger_end);
    const auto all =
        load::summarise(samples, both, trigger_at + std::chrono::seconds(1), trigger_end);
    const auto after =
        load::summarise(samples, both, trigger_end + std::chrono::seconds(1), plan.length);
    say("  surge x6 and log outage of 8 s together, policy on, seed " + std::to_string(seed));
    say("    orders during: " + describe(order));
    say("    all during:    " + describe(all));
    say("    all after:     " + describe(after));
    const double wanted = std::min(normal * 6 * order_share, 0.95 * single_capacity);
    report({"orders' goodput / min(demand, 95% of capacity)", ">= 0.95", order.goodput / wanted,
            order.goodput >= 0.95 * wanted});
    report({"goodput after / demand", ">= 0.95", after.goodput / normal,
            after.goodput >= 0.95 * normal});
    const auto runs = runs_by_key(where, where.hosts_of("permits"));
    report({"most runs of one order", "<= 1", static_cast<double>(most_runs(runs)),
            most_runs(runs) <= 1});
}

} // namespace lavenderhoist::bench
