// Goodput and recovery under overload, compared with the same deployment with the policy off.

#include "scenario.hpp"

#include <algorithm>

namespace lavenderhoist::bench {
namespace {

// Steady overload of one service.

void measure_demand(const settings& run_settings, std::uint64_t seed, bool policy, double factor) {
    harness::deployment where(run_settings.binaries, single_service(policy));
    if (!start(where, policy)) {
        return;
    }
    load::plan plan;
    const double demand = single_capacity * factor;
    plan.streams = {make_stream("read", "GET", "/permits/view", demand * (1 - order_share)),
                    make_stream("order", "POST", "/permits/order", demand * order_share)};
    plan.entries = where.entries();
    plan.length = std::chrono::seconds(10);
    plan.seed = seed;
    const auto samples = run_load(plan);
    constexpr duration warm_up_time = std::chrono::seconds(3);
    const auto all = load::summarise(samples, both, warm_up_time, plan.length);
    const auto order = load::summarise(samples, orders, warm_up_time, plan.length);
    const auto read = load::summarise(samples, reads, warm_up_time, plan.length);
    print_line("  demand x" + format_number(factor) + ", policy " + (policy ? "on" : "off") +
               ", seed " + std::to_string(seed));
    print_line("    orders: " + describe(order));
    print_line("    reads:  " + describe(read));
    if (!policy) {
        return;
    }
    const double desired_goodput = std::min(demand * order_share, 0.95 * single_capacity);
    report({"orders' goodput / min(demand, 95% of capacity)", ">= 0.95",
            order.goodput / desired_goodput, order.goodput >= 0.95 * desired_goodput});
    report({"goodput / capacity", ">= 0.90", all.goodput / single_capacity,
            all.goodput >= 0.9 * single_capacity});
    const bool orders_fit = demand * order_share < single_capacity;
    if (orders_fit) {
        const auto shed = static_cast<double>(order.refused + order.unknown + order.lost);
        report({"orders shed while reads were admitted", "0", shed, shed == 0 || read.good == 0});
    }
    report_executions(where, where.hosts_of("permits"), samples);
    report({"answers mixed up", "0", static_cast<double>(all.wrong), all.wrong == 0});
}

// A step in demand.

void measure_surge(const settings& run_settings, std::uint64_t seed, bool policy) {
    harness::deployment where(run_settings.binaries, single_service(policy));
    if (!start(where, policy)) {
        return;
    }
    load::plan plan;
    const double normal = single_capacity * 0.5;
    plan.streams = {make_stream("read", "GET", "/permits/view", normal * (1 - order_share)),
                    make_stream("order", "POST", "/permits/order", normal * order_share)};
    constexpr duration surge_at = std::chrono::seconds(5);
    constexpr duration surge_end = std::chrono::seconds(10);
    for (auto& stream : plan.streams) {
        stream.changes = {{surge_at, 10}, {surge_end, 1}};
    }
    plan.entries = where.entries();
    plan.length = std::chrono::seconds(15);
    plan.seed = seed;
    const auto samples = run_load(plan);
    constexpr duration window = std::chrono::milliseconds(200);
    const auto goodput = load::goodput_over_time(samples, both, window, plan.length);
    print_line("  surge x10, policy " + std::string(policy ? "on" : "off") + ", seed " +
               std::to_string(seed));
    const auto during =
        load::summarise(samples, both, surge_at + std::chrono::seconds(1), surge_end);
    const auto after =
        load::summarise(samples, both, surge_end + std::chrono::seconds(1), plan.length);
    print_line("    during: " + describe(during));
    print_line("    after:  " + describe(after));
    if (!policy) {
        return;
    }
    const double settling_time = settling_seconds(goodput, window, surge_at, 0.9 * single_capacity);
    report({"seconds until goodput settles at 90% of capacity", "<= 1", settling_time,
            settling_time <= 1});
    const double recovery_time = settling_seconds(goodput, window, surge_end, 0.8 * normal);
    report({"seconds until goodput is back after the surge", "<= 2", recovery_time,
            recovery_time <= 2});
    report({"goodput after the surge / demand", ">= 0.95", after.goodput / normal,
            after.goodput >= 0.95 * normal});
}

// A slow service at the end of a chain.

void measure_slow_callee(const settings& run_settings, std::uint64_t seed, bool policy) {
    harness::deployment where(run_settings.binaries, chain(policy));
    if (!start(where, policy)) {
        return;
    }
    load::plan plan;
    plan.streams = {make_stream("view", "GET", "/a/view", chain_capacity * 0.4),
                    make_stream("order", "POST", "/a/order", chain_capacity * 0.3),
                    make_stream("own", "GET", "/a/own", 200),
                    make_stream("apart", "GET", "/e/own", 200)};
    for (auto& stream : plan.streams) {
        stream.max_retries = 5;
    }
    plan.entries = where.entries();
    plan.length = std::chrono::seconds(26);
    plan.seed = seed;
    constexpr duration slow_at = std::chrono::seconds(6);
    constexpr duration slow_end = std::chrono::seconds(16);
    const auto samples = run_load(plan, [&] {
        const auto began = runtime_clock::now();
        wait_until_run_time(began, slow_at);
        for (const auto* const one : where.hosts_of("d")) {
            where.set_target_faults(*one, R"({"slow_factor": 10})");
        }
        wait_until_run_time(began, slow_end);
        for (const auto* const one : where.hosts_of("d")) {
            where.set_target_faults(*one, "{}");
        }
    });
    constexpr std::array<unsigned, 2> others{2, 3};
    constexpr duration warm_up_time = std::chrono::seconds(2);
    const auto before = load::summarise(samples, both, warm_up_time, slow_at);
    const auto during = load::summarise(samples, both, slow_at + warm_up_time, slow_end);
    const auto others_before = load::summarise(samples, others, warm_up_time, slow_at);
    const auto others_during =
        load::summarise(samples, others, slow_at + std::chrono::seconds(1), slow_end);
    print_line("  deep service 10 times slower, callers resend 5 times, policy " +
               std::string(policy ? "on" : "off") + ", seed " + std::to_string(seed));
    print_line("    chain before: " + describe(before));
    print_line("    chain during: " + describe(during));
    print_line("    others before: " + describe(others_before));
    print_line("    others during: " + describe(others_during));
    constexpr duration window = std::chrono::milliseconds(250);
    const auto goodput = load::goodput_over_time(samples, both, window, plan.length);
    const double recovery_time = settling_seconds(goodput, window, slow_end, 0.85 * before.goodput);
    const auto after =
        load::summarise(samples, both, slow_end + std::chrono::seconds(2), plan.length);
    print_line("    recovered after " + format_number(recovery_time, 2) +
               " s; chain afterwards: " + describe(after));
    const auto runs = runs_by_key(where, where.hosts_of("d"));
    const auto root_orders = load::summarise(samples, orders, duration(0), plan.length).sent;
    std::size_t deep_orders = 0;
    for (const auto& [key, count] : runs) {
        deep_orders += static_cast<std::size_t>(count);
    }
    const double per_order = static_cast<double>(deep_orders) / static_cast<double>(root_orders);
    print_line("    orders run at the deepest service per order sent: " +
               format_number(per_order, 3));
    if (!policy) {
        return;
    }
    report({"others' goodput during / before", ">= 0.95",
            others_during.goodput / others_before.goodput,
            others_during.goodput >= 0.95 * others_before.goodput});
    report({"seconds until goodput is back", "<= 2", recovery_time, recovery_time <= 2});
    // Fractions of the requests sent: demand itself varies by some per cent between the periods.
    const double good_before = good_fraction(before);
    const double good_after = good_fraction(after);
    report({"share of requests good afterwards / before", ">= 0.95", good_after / good_before,
            good_after >= 0.95 * good_before});
    report({"executions at the deepest service per order", "<= 3", per_order, per_order <= 3});
}

// Upstream work that is wasted when the last hop rejects requests.

void measure_wasted_work(const settings& run_settings, std::uint64_t seed, bool policy) {
    harness::deployment where(run_settings.binaries, chain(policy));
    if (!start(where, policy)) {
        return;
    }
    load::plan plan;
    plan.streams = {make_stream("view", "GET", "/a/view", chain_capacity * 2 * (1 - order_share)),
                    make_stream("order", "POST", "/a/order", chain_capacity * 2 * order_share)};
    plan.entries = where.entries();
    plan.length = std::chrono::seconds(12);
    plan.seed = seed;
    std::array<std::size_t, 2> upstream{};
    std::array<std::size_t, 2> deepest{};
    const auto samples = run_load(plan, [&] {
        const auto began = runtime_clock::now();
        const std::array<duration, 2> moments{std::chrono::seconds(4), std::chrono::seconds(11)};
        for (std::size_t i = 0; i < moments.size(); ++i) {
            wait_until_run_time(began, moments[i]);
            upstream[i] = executions(where, where.hosts_of("a")) +
                          executions(where, where.hosts_of("b")) +
                          executions(where, where.hosts_of("c"));
            deepest[i] = executions(where, where.hosts_of("d"));
        }
    });
    const auto all =
        load::summarise(samples, both, std::chrono::seconds(4), std::chrono::seconds(11));
    const auto order =
        load::summarise(samples, orders, std::chrono::seconds(4), std::chrono::seconds(11));
    const auto worked = static_cast<double>(upstream[1] - upstream[0]);
    const auto useful = 3.0 * static_cast<double>(all.good);
    const double wasted = std::max(0.0, worked - useful) / worked;
    print_line("  chain at twice its capacity, policy " + std::string(policy ? "on" : "off") +
               ", seed " + std::to_string(seed));
    print_line("    all:    " + describe(all));
    print_line("    orders: " + describe(order));
    print_line("    wasted upstream work: " + format_number(wasted * 100) + "% of " +
               format_number(worked, 0));
    if (!policy) {
        return;
    }
    report({"wasted work upstream", "<= 0.05", wasted, wasted <= 0.05});
    report({"goodput / capacity", ">= 0.90", all.goodput / chain_capacity,
            all.goodput >= 0.9 * chain_capacity});
    const double desired_goodput =
        std::min(chain_capacity * 2 * order_share, 0.95 * chain_capacity);
    report({"orders' goodput / min(demand, 95% of capacity)", ">= 0.95",
            order.goodput / desired_goodput, order.goodput >= 0.95 * desired_goodput});
}

} // namespace

int measure_overload(const settings& run_settings) {
    const auto is_selected = [&](const std::string& name) {
        return run_settings.only.empty() || run_settings.only == name;
    };
    for (const auto seed : run_settings.seeds) {
        for (const bool policy : {true, false}) {
            if (!policy && run_settings.policy_on_only) {
                continue;
            }
            for (const double factor : {1.5, 3.0, 10.0}) {
                if (is_selected("demand")) {
                    measure_demand(run_settings, seed, policy, factor);
                }
            }
            if (is_selected("surge")) {
                measure_surge(run_settings, seed, policy);
            }
            if (is_selected("slow")) {
                measure_slow_callee(run_settings, seed, policy);
            }
            if (is_selected("waste")) {
                measure_wasted_work(run_settings, seed, policy);
            }
            for (const auto fault :
                 {target_fault::dies, target_fault::hangs, target_fault::sheds}) {
                if (is_selected("target")) {
                    measure_target_fault(run_settings, seed, policy, fault);
                }
            }
            if (is_selected("poison")) {
                measure_poison(run_settings, policy);
            }
        }
        if (is_selected("two")) {
            measure_two_triggers(run_settings, seed);
        }
    }
    return checks_not_met() == 0 ? 0 : 1;
}

} // namespace lavenderhoist::bench
