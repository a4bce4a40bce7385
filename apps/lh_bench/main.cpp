// lh-bench: measures this project's own behaviour with deployments of separate processes on
// loopback.

#include "bench.hpp"

#include "lavenderhoist/cli/options.hpp"

#include <filesystem>
#include <functional>
#include <iostream>
#include <map>

int main(int argc, char** argv) {
    using namespace lavenderhoist;
    namespace po = boost::program_options;
    po::options_description options("Options");
    options.add_options()("what", po::value<std::string>()->required(),
                          "overhead, overload, state, slopes or demo")(
        "only", po::value<std::string>()->default_value(""),
        "run only this scenario of the measurement")(
        "examples", po::value<std::string>()->default_value("examples"),
        "folder of the examples")("policy-on-only", "exclude the runs with the policy off")(
        "seeds", po::value<int>()->default_value(1), "number of seeds, starting at 1");
    po::positional_options_description positional;
    positional.add("what", 1);
    positional.add("only", 1);
    const auto parsed = cli::parse(argc, argv, "lh-bench WHAT [SCENARIO]", options, &positional);
    if (parsed.exit_with) {
        return *parsed.exit_with;
    }
    bench::settings run_settings;
    run_settings.binaries = std::filesystem::canonical("/proc/self/exe").parent_path().string();
    run_settings.examples = parsed.values["examples"].as<std::string>();
    run_settings.policy_on_only = parsed.values.contains("policy-on-only");
    run_settings.only = parsed.values["only"].as<std::string>();
    run_settings.seeds.clear();
    for (int seed = 1; seed <= parsed.values["seeds"].as<int>(); ++seed) {
        run_settings.seeds.push_back(static_cast<std::uint64_t>(seed));
    }
    const std::map<std::string, std::function<int(const bench::settings&)>> measurements{
        {"overhead", &bench::measure_overhead},
        {"overload", &bench::measure_overload},
        {"state", &bench::measure_state},
        {"slopes", &bench::measure_slopes},
        {"demo", &bench::run_demo}};
    const auto found = measurements.find(parsed.values["what"].as<std::string>());
    if (found == measurements.end()) {
        std::cerr << "unknown measurement; see lh-bench --help\n";
        return cli::exit_usage;
    }
    const int failed = found->second(run_settings);
    std::cout << bench::checks_not_met() << " bounds not met\n";
    return failed;
}
