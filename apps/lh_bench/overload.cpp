// Goodput and recovery under overload, beside the same deployment with the policy off.

#include "bench.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <set>

namespace lavenderhoist::bench {
namespace {

namespace json = boost::json;

constexpr std::array<unsigned, 1> reads{0};
constexpr std::array<unsigned, 1> orders{1};
constexpr std::array<unsigned, 2> both{0, 1};
constexpr double order_share = 0.3;

/** One service, two targets, 500 requests a second. */
constexpr double single_capacity = 500;

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

/** A chain a -> b -> c -> d; a serves requests of its own as well, and e is apart. */
constexpr double chain_capacity = 250; // of d: 10 slots, 2 targets, 80 ms

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
        say("  the deployment did not start");
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
                                      where.orders_are_ready(item.first, item.second);
                           });
                       },
                       std::chrono::seconds(20));
    if (!is_ready) {
        say("  the owners of orders did not settle");
    }
    return is_ready;
}

std::string describe(const load::summary& seen) {
    std::string reasons;
    for (const auto& [reason, count] : seen.reasons) {
        reasons += (reasons.empty() ? "; " : ", ") + reason + " " + std::to_string(count);
    }
    return "goodput " + shown(seen.goodput) + "/s of " + std::to_string(seen.sent) +
           " sent, refused " + std::to_string(seen.refused) + ", unknown " +
           std::to_string(seen.unknown) + ", lost " + std::to_string(seen.lost) + ", wrong " +
           std::to_string(seen.wrong) + ", p50 " + shown(seen.p50_ms) + " ms, p99 " +
           shown(seen.p99_ms) + " ms" + reasons;
}

/** Executions per key over all targets of a service. */
std::map<std::string, int> runs_by_key(const harness::deployment& where,
                                       std::vector<harness::host*> hosts) {
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

int most_runs(const std::map<std::string, int>& runs) {
    int most = 0;
    for (const auto& [key, count] : runs) {
        most = std::max(most, count);
    }
    return most;
}

/** How many orders that callers were told had not run were run. */
int false_refusals(const std::vector<load::sample>& samples,
                   const std::map<std::string, int>& runs) {
    int count = 0;
    for (const auto& one : samples) {
        count +=
            one.end == load::ending::refused && one.sends == 1 && runs.contains(one.key) ? 1 : 0;
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
    const auto runs = runs_by_key(where, where.hosts_of("permits"));
    report({"most runs of one order", "<= 1", static_cast<double>(most_runs(runs)),
            most_runs(runs) <= 1});
    const auto false_claims = static_cast<double>(false_refusals(samples, runs));
    report({"orders told not to have run that ran", "0", false_claims, false_claims == 0});
    report({"answers mixed up", "0", static_cast<double>(all.wrong), all.wrong == 0});
}

// A step in demand.

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
        stream.resends = 5;
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
    report({"goodput afterwards / before", ">= 0.95", after.goodput / before.goodput,
            after.goodput >= 0.95 * before.goodput});
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

// One target of several fails.

enum class target_fault { dies, hangs, lies };

std::string to_string(target_fault fault) {
    switch (fault) {
    case target_fault::dies:
        return "dies";
    case target_fault::hangs:
        return "hangs";
    case target_fault::lies:
        return "sheds while its health says ok";
    }
    return "";
}

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
    const auto runs = runs_by_key(where, where.hosts_of("permits"));
    report({"most runs of one order", "<= 1", static_cast<double>(most_runs(runs)),
            most_runs(runs) <= 1});
    const auto false_claims = static_cast<double>(false_refusals(samples, runs));
    report({"orders told not to have run that ran", "0", false_claims, false_claims == 0});
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

} // namespace

int measure_overload(const settings& with) {
    const auto is_wanted = [&](const std::string& name) {
        return with.only.empty() || with.only == name;
    };
    for (const auto seed : with.seeds) {
        for (const bool policy : {true, false}) {
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
            for (const auto fault : {target_fault::dies, target_fault::hangs, target_fault::lies}) {
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
