// Demonstration for the README: a two-service deployment from examples/ that is overloaded and
// recovers.

#include "bench.hpp"

#include "lavenderhoist/cli/options.hpp"

#include <array>

namespace lavenderhoist::bench {
namespace {

constexpr std::array<unsigned, 1> views{0};
constexpr std::array<unsigned, 1> passes{1};
constexpr duration slow_at = std::chrono::seconds(6);
constexpr duration slow_end = std::chrono::seconds(12);
constexpr duration run_length = std::chrono::seconds(18);

/** A tenth of the slots of the example, so that one machine can overload the deployment. */
harness::deployment_spec small_haugland(const std::string& configuration) {
    harness::deployment_spec spec;
    harness::service_spec watering;
    watering.name = "watering";
    watering.targets = 2;
    watering.slots = 160;
    watering.connections = 1'100;
    watering.service_ms = 5;
    watering.calls = {
        boost::json::object{{"prefix", "/passes"}, {"method", "POST"}, {"path", "/dosing/rates"}},
        boost::json::object{{"prefix", "/status"}, {"method", "GET"}, {"path", "/dosing/status"}}};
    harness::service_spec dosing;
    dosing.name = "dosing";
    dosing.targets = 2;
    dosing.slots = 16;
    dosing.connections = 1'100;
    dosing.service_ms = 40;
    spec.services = {watering, dosing};
    spec.data_centres = {"vestland-1", "vestland-2"};
    spec.configuration = configuration;
    return spec;
}

void show(const std::string& phase, const std::vector<load::sample>& samples, duration from,
          duration to) {
    for (const bool is_order : {false, true}) {
        const auto seen = load::summarise(samples, is_order ? passes : views, from, to);
        print_line("  " + phase +
                   (is_order ? "  watering passes (orders): " : "  status views (reads):     ") +
                   "goodput " + format_number(seen.goodput) + "/s of " + std::to_string(seen.sent) +
                   " sent, refused " + std::to_string(seen.refused) + ", unknown " +
                   std::to_string(seen.unknown) + ", p50 " + format_number(seen.p50_ms) +
                   " ms, p99 " + format_number(seen.p99_ms) + " ms");
    }
}

} // namespace

int run_demo(const settings& run_settings) {
    auto text = cli::read_file(run_settings.examples + "/haugland.json");
    if (!text) {
        print_line(run_settings.examples + "/haugland.json: cannot be read");
        return cli::exit_usage;
    }
    auto configuration = boost::json::parse(*text);
    for (auto& service : configuration.at("services").as_array()) {
        if (service.at("name") == "dosing") {
            service.as_object()["slots"] = 16;
        }
    }
    harness::deployment where(run_settings.binaries,
                              small_haugland(boost::json::serialize(configuration)));
    print_line("starting 4 nodes, 4 stand-in targets and a stand-in log on loopback");
    const bool is_up = where.start() && harness::wait_until(
                                            [&] {
                                                return where.has_ready_orders("watering", 2) &&
                                                       where.has_ready_orders("dosing", 2);
                                            },
                                            std::chrono::seconds(20));
    if (!is_up) {
        print_line("the deployment did not start");
        return cli::exit_failed;
    }
    print_line("configuration of examples/haugland.json published; sending traffic");
    auto view = make_stream("view", "GET", "/watering/status", 400);
    auto pass = make_stream("pass", "POST", "/watering/passes", 100);
    for (auto* const stream : {&view, &pass}) {
        stream->max_retries = 3;
        stream->timeout = std::chrono::seconds(2);
    }
    const load::plan plan{{view, pass}, where.entries(), run_length, 1};
    const auto samples = run_load(plan, [&] {
        const auto began = runtime_clock::now();
        wait_until_run_time(began, slow_at);
        print_line("dosing control slows down by a factor of 5");
        for (const auto* const one : where.hosts_of("dosing")) {
            where.set_target_faults(*one, R"({"slow_factor": 5})");
        }
        wait_until_run_time(began, slow_end);
        print_line("dosing control is back to normal speed");
        for (const auto* const one : where.hosts_of("dosing")) {
            where.set_target_faults(*one, "{}");
        }
    });
    show("before:", samples, std::chrono::seconds(1), slow_at);
    show("during:", samples, slow_at, slow_end);
    show("after: ", samples, slow_end + std::chrono::seconds(2), run_length);
    print_line("stopping all processes");
    return cli::exit_ok;
}

} // namespace lavenderhoist::bench
