// Goodput and recovery under overload, beside the same deployment with the policy off.

#include "scenario.hpp"

#include <algorithm>

namespace lavenderhoist::bench {
namespace {

// Steady overload of one service.

void measure_demand(const settings& with, std::uint64_t seed, bool policy, double factor) {
    harness::deployment where(with.binaries, single_service(policy));
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
    constexpr duration settled = std::chrono::seconds(3);
    const auto all = load::summarise(samples, both, settled, plan.length);
    const auto order = load::summarise(samples, orders, settled, plan.length);
    const auto read = load::summarise(samples, reads, settled, plan.length);
    say("  demand x" + shown(factor) + ", policy " + (policy ? "on" : "off") + ", seed " +
        std::to_string(seed));
    say("    orders: " + describe(order));
    say("    reads:  " + describe(read));
    if (!policy) {
        return;
    }
    const double wanted = std::min(demand * order_share, 0.95 * single_capacity);
    report({"orders' goodput / min(demand, 95% of capacity)", ">= 0.95", order.goodput / wanted,
            order.goodput >= 0.95 * wanted});
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

void measure_surge(const settings& with, std::uint64_t seed, bool policy) {
    harness::deployment where(with.binaries, single_service(policy));
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
    say("  surge x10, policy " + std::string(policy ? "on" : "off") + ", seed " +
        std::to_string(seed));
    const auto during =
        load::summarise(samples, both, surge_at + std::chrono::seconds(1), surge_end);
    const auto after =
        load::summarise(samples, both, surge_end + std::chrono::seconds(1), plan.length);
    say("    during: " + describe(during));
    say("    after:  " + describe(after));
    if (!policy) {
        return;
    }
    const double settles = settling_seconds(goodput, window, surge_at, 0.9 * single_capacity);
    report({"seconds until goodput settles at 90% of capacity", "<= 1", settles, settles <= 1});
    const double recovers = settling_seconds(goodput, window, surge_end, 0.8 * normal);
    report({"seconds until goodput is back after the surge", "<= 2", recovers, recovers <= 2});
    report({"goodput after the surge / demand", ">= 0.95", after.goodput / normal,
            after.goodput >= 0.95 * normal});
}

// A slow service at the end of a chain.

void measure_slow_callee(const settings& with, std::uint64_t seed, bool policy) {
    harness::deployment where(with.binaries, chain(policy));
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
    constexpr duration warm = std::chrono::seconds(2);
    const auto before = load::summarise(samples, both, warm, slow_at);
    const auto during = load::summarise(samples, both, slow_at + warm, slow_end);
    const auto others_before = load::summarise(samples, others, warm, slow_at);
    const auto others_during =
        load::summarise(samples, others, slow_at + std::chrono::seconds(1), slow_end);
    say("  deep service 10 times slower, callers resend 5 times, policy " +
        std::string(policy ? "on" : "off") + ", seed " + std::to_string(seed));
    say("    chain before: " + describe(before));
    say("    chain during: " + describe(during));
    say("    others before: " + describe(others_before));
    say("    others during: " + describe(others_during));
    constexpr duration window = std::chrono::milliseconds(250);
    const auto goodput = load::goodput_over_time(samples, both, window, plan.length);
    const double recovers = settling_seconds(goodput, window, slow_end, 0.85 * before.goodput);
    const auto after =
        load::summarise(samples, both, slow_end + std::chrono::seconds(2), plan.length);
    say("    recovered after " + shown(recovers, 2) + " s; chain afterwards: " + describe(after));
    const auto runs = runs_by_key(where, where.hosts_of("d"));
    const auto root_orders = load::summarise(samples, orders, duration(0), plan.length).sent;
    std::size_t deep_orders = 0;
    for (const auto& [key, count] : runs) {
        deep_orders += static_cast<std::size_t>(count);
    }
    const double per_order = static_cast<double>(deep_orders) / static_cast<double>(root_orders);
    say("    orders run at the deepest service per order sent: " + shown(per_order, 3));
    if (!policy) {
        return;
    }
    report({"others' goodput during / before", ">= 0.95",
            others_during.goodput / others_before.goodput,
            others_during.goodput >= 0.95 * others_before.goodput});
    report({"seconds until goodput is back", "<= 2", recovers, recovers <= 2});
    // Shares of what was sent: demand itself varies by some per cent between the two spans.
    const double good_before = share_good(before);
    const double good_after = share_good(after);
    report({"share of requests good afterwards / before", ">= 0.95", good_after / good_before,
            good_after >= 0.95 * good_before});
    report({"executions at the deepest service per order", "<= 3", per_order, per_order <= 3});
}

// Work upstream that is wasted when the last hop refuses.

void measure_wasted_work(const settings& with, std::uint64_t seed, bool policy) {
    harness::deployment where(with.binaries, chain(policy));
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
    say("  chain at twice its capacity, policy " + std::string(policy ? "on" : "off") + ", seed " +
        std::to_string(seed));
    say("    all:    " + describe(all));
    say("    orders: " + describe(order));
    say("    work upstream that came to nothing: " + shown(wasted * 100) + "% of " +
        shown(worked, 0));
    if (!policy) {
        return;
    }
    report({"wasted work upstream", "<= 0.05", wasted, wasted <= 0.05});
    report({"goodput / capacity", ">= 0.90", all.goodput / chain_capacity,
            all.goodput >= 0.9 * chain_capacity});
    const double wanted = std::min(chain_capacity * 2 * order_share, 0.95 * chain_capacity);
    report({"orders' goodput / min(demand, 95% of capacity)", ">= 0.95", order.goodput / wanted,
            order.goodput >= 0.95 * wanted});
}

} // namespace

int measure_overload(const settings& with) {
    const auto is_wanted = [&](const std::string& name) {
        return with.only.empty() || with.only == name;
    };
    for (const auto seed : with.seeds) {
        for (const bool policy : {true, false}) {
            if (!policy && with.policy_on_only) {
                continue;
            }
            for (const double factor : {1.5, 3.0, 10.0}) {
                if (is_wanted("demand")) {
                    measure_demand(with, seed, policy, factor);
                }
            }
            if (is_wanted("surge")) {
                measure_surge(with, seed, policy);
            }
            if (is_wanted("slow")) {
                measure_slow_callee(with, seed, policy);
            }
            if (is_wanted("waste")) {
                measure_wasted_work(with, seed, policy);
            }
            for (const auto fault :
                 {target_fault::dies, target_fault::hangs, target_fault::sheds}) {
                if (is_wanted("target")) {
                    measure_target_fault(with, seed, policy, fault);
                }
            }
            if (is_wanted("poison")) {
                measure_poison(with, policy);
            }
        }
        if (is_wanted("two")) {
            measure_two_triggers(with, seed);
        }
    }
    return checks_not_met() == 0 ? 0 : 1;
}

} // namespace lavenderhoist::bench
