// lh-load: open-loop load on a running deployment.

#include "lavenderhoist/cli/options.hpp"
#include "lavenderhoist/config/address.hpp"
#include "lavenderhoist/load.hpp"

#include <boost/json.hpp>

#include <iomanip>
#include <iostream>

namespace {

using namespace lavenderhoist;
namespace po = boost::program_options;

std::vector<std::string> split(const std::string& text) {
    std::vector<std::string> words;
    std::istringstream rest(text);
    std::string word;
    while (std::getline(rest, word, ',')) {
        words.push_back(word);
    }
    return words;
}

void print_summary(const std::string& name, const load::summary& seen, bool as_json) {
    if (as_json) {
        const boost::json::object line{{"stream", name},          {"sent", seen.sent},
                                       {"good", seen.good},       {"refused", seen.refused},
                                       {"unknown", seen.unknown}, {"lost", seen.lost},
                                       {"wrong", seen.wrong},     {"goodput", seen.goodput},
                                       {"p50_ms", seen.p50_ms},   {"p99_ms", seen.p99_ms}};
        std::cout << boost::json::serialize(line) << "\n";
        return;
    }
    std::cout << std::left << std::setw(12) << name << std::right << " sent " << std::setw(7)
              << seen.sent << " good " << std::setw(7) << seen.good << " refused " << std::setw(6)
              << seen.refused << " unknown " << std::setw(5) << seen.unknown << " lost "
              << std::setw(5) << seen.lost << " wrong " << seen.wrong << std::fixed
              << std::setprecision(1) << "  goodput " << seen.goodput << "/s  p50 " << seen.p50_ms
              << " ms  p99 " << seen.p99_ms << " ms\n";
}

} // namespace

int main(int argc, char** argv) {
    po::options_description options("Options");
    options.add_options()("entries", po::value<std::string>()->required(),
                          "IP:port of nodes, separated by commas")(
        "method", po::value<std::string>()->default_value("GET"), "method of the requests")(
        "path", po::value<std::string>()->required(), "/SERVICE/PATH of the requests")(
        "rate", po::value<double>()->default_value(100),
        "requests a second")("seconds", po::value<int>()->default_value(10), "length of the run")(
        "timeout-ms", po::value<int>()->default_value(2'000), "timeout of the caller")(
        "resends", po::value<int>()->default_value(0), "maximum immediate retries after a failure")(
        "key", "send an idempotency key with each request")(
        "caller", po::value<std::string>()->default_value("lh-load"),
        "name of the caller")("seed", po::value<std::uint64_t>()->default_value(1),
                              "seed of the random gaps between requests")("json", "print JSON");
    const auto parsed =
        cli::parse(argc, argv, "lh-load --entries IP:PORT[,...] --path /SERVICE/PATH", options);
    if (parsed.exit_with) {
        return *parsed.exit_with;
    }
    const auto& values = parsed.values;
    load::plan plan;
    for (const auto& word : split(values["entries"].as<std::string>())) {
        const auto where = config::parse_address(word);
        if (!where) {
            std::cerr << "--entries: " << word << ": expected IP:port\n";
            return cli::exit_usage;
        }
        plan.entries.push_back(net::make_endpoint(where->host, where->port));
    }
    load::stream stream;
    stream.name = values["path"].as<std::string>();
    stream.method = values["method"].as<std::string>();
    stream.path = values["path"].as<std::string>();
    stream.caller = values["caller"].as<std::string>();
    stream.rate = values["rate"].as<double>();
    stream.has_key = values.contains("key");
    stream.max_retries = values["resends"].as<int>();
    stream.timeout = milliseconds(values["timeout-ms"].as<int>());
    plan.streams = {stream};
    plan.length = std::chrono::seconds(values["seconds"].as<int>());
    plan.seed = values["seed"].as<std::uint64_t>();
    load::generator generator(plan);
    generator.run();
    const std::vector<unsigned> all{0};
    print_summary(stream.name, load::summarise(generator.samples(), all, duration(0), plan.length),
                  values.contains("json"));
    return cli::exit_ok;
}
