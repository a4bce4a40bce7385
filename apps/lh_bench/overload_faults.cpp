// Faults of one target, a request that crashes targets, and two simultaneous triggers of overload.

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

void measure_target_fault(const settings& run_settings, std::uint64_t seed, bool policy,
                          target_fault fault) {
    auto spec = single_service(policy);
    spec.services[0].targets = 4;
    harness::deployment where(run_settings.binaries, spec);
    if (!start(where, policy)) {
        return;
    }
    const double demand = single_capacity; // half of the capacity of four targets
    load::plan plan;
    plan.streams = {make_stream("read", "GET", "/permits/view", demand * (1 - order_share)),
                    make_stream("order", "POST", "/permits/order", demand * order_share)};
    // Callers fail over from a dead entry themselves; this measures requests through other entries.
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
    const double recovery_time = settling_seconds(goodput, window, fault_at, 0.9 * before.goodput);
    print_line("  one of four targets " + to_string(fault) + ", policy " + (policy ? "on" : "off") +
               ", seed " + std::to_string(seed));
    print_line("    before: " + describe(before));
    print_line("    reads after:  " + describe(read_after));
    print_line("    orders after: " + describe(order_after));
    print_line("    goodput back at 90% after " + format_number(recovery_time, 2) + " s");
    if (!policy) {
        return;
    }
    report_executions(where, where.hosts_of("permits"), samples);
}

// A request that crashes its target.

void measure_poison(const settings& run_settings, bool policy) {
    auto spec = single_service(policy);
    spec.services[0].targets = 4;
    harness::deployment where(run_settings.binaries, spec);
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
    print_line("  poisoned read sent " + std::to_string(sent) + " times, policy " +
               (policy ? "on" : "off") + ": " + std::to_string(deaths) + " of 4 targets died");
    if (policy) {
        report({"target deaths by one poisoned request", "<= 2", static_cast<double>(deaths),
                deaths <= 2});
    }
}

// A surge and an outage of the log at the same time.

void measure_two_triggers(const settings& run_settings, std::uint64_t seed) {
    harness::deployment where(run_settings.binaries, single_service(true));
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
    print_line("  surge x6 and log outage of 8 s together, policy on, seed " +
               std::to_string(seed));
    print_line("    orders during: " + describe(order));
    print_line("    all during:    " + describe(all));
    print_line("    all after:     " + describe(after));
    const double desired_goodput = std::min(normal * 6 * order_share, 0.95 * single_capacity);
    report({"orders' goodput / min(demand, 95% of capacity)", ">= 0.95",
            order.goodput / desired_goodput, order.goodput >= 0.95 * desired_goodput});
    report({"goodput after / demand", ">= 0.95", after.goodput / normal,
            after.goodput >= 0.95 * normal});
    const auto runs = runs_by_key(where, where.hosts_of("permits"));
    report({"most runs of one order", "<= 1", static_cast<double>(max_runs(runs)),
            max_runs(runs) <= 1});
}

} // namespace lavenderhoist::bench
