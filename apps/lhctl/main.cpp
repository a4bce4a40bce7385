// lhctl: the operators' command line.

#include "commands.hpp"

#include "lavenderhoist/cli/options.hpp"

#include <iostream>

namespace {

using namespace lavenderhoist;
namespace po = boost::program_options;

constexpr std::string_view usage = R"(lhctl [options] COMMAND

Commands
  config check FILE              validate a configuration, without a node
  config publish FILE --replaces VERSION [--author NAME]
                                 publish it in place of VERSION (0 for the first)
  config show                    the configuration in force
  config history                 the records of the log, and which of them were accepted
  status                         the node: target, limit, level, orders, control traffic
  members                        all nodes that this node knows
  metrics                        counters, and histograms per class and caller
  drain                          finish requests in flight, then stop the node
  explain REQUEST                why a request of this node's callers was refused

Exit codes
  0 done, 1 refused, 2 usage or invalid input, 3 another configuration stands,
  4 may have taken effect, 5 the node did not answer)";

} // namespace

int main(int argc, char** argv) {
    po::options_description options("Options");
    options.add_options()("node", po::value<std::string>()->default_value("127.0.0.1:8005"),
                          "admin listener of a node, IP:port")(
        "token-file", po::value<std::string>(), "file with the admin token")(
        "token", po::value<std::string>(), "the admin token itself")("json", "print JSON")(
        "replaces", po::value<std::int64_t>(), "version that a publication replaces")(
        "author", po::value<std::string>()->default_value("operator"),
        "author recorded in the history")("id", po::value<std::string>(),
                                          "identifier of the record; generated if omitted")(
        "words", po::value<std::vector<std::string>>(), "command");
    po::positional_options_description positional;
    positional.add("words", -1);
    const auto parsed = cli::parse(argc, argv, usage, options, &positional);
    if (parsed.exit_with) {
        return *parsed.exit_with;
    }
    lhctl::command_line given;
    if (!lhctl::read_command_line(parsed.values, given)) {
        return cli::exit_usage;
    }
    return lhctl::run(given);
}
