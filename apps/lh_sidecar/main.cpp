// lh-sidecar: the process beside each target on the users' platform.

#include "lavenderhoist/agent/sidecar.hpp"
#include "lavenderhoist/cli/options.hpp"
#include "lavenderhoist/logging/log.hpp"
#include "lavenderhoist/platform/codec.hpp"

#include <csignal>
#include <iostream>

namespace {

using namespace lavenderhoist;

int run(const agent::agent_settings& settings, const std::string& path) {
    logging::set_up(settings.log_level, settings.id);
    int code = cli::exit_ok;
    try {
        const platform::codec codec;
        agent::sidecar process(settings, path, codec);
        process.run();
    } catch (const std::exception& failed) {
        logging::log_line(logging::severity::error, "node failed", {{"reason", failed.what()}});
        code = cli::exit_failed;
    }
    logging::shut_down();
    return code;
}

} // namespace

int main(int argc, char** argv) {
    std::signal(SIGHUP, SIG_IGN); // ends a process that has no handler yet
    boost::program_options::options_description options("Options");
    options.add_options()("settings", boost::program_options::value<std::string>()->required(),
                          "settings of the process (JSON)")("check", "check the settings and exit");
    const auto parsed = cli::parse(argc, argv, "lh-sidecar --settings FILE [--check]", options);
    if (parsed.exit_with) {
        return *parsed.exit_with;
    }
    const auto path = parsed.values["settings"].as<std::string>();
    const auto settings =
        cli::read_document<agent::agent_settings>(path, &agent::parse_agent_settings);
    if (!settings) {
        return cli::exit_usage;
    }
    if (parsed.values.contains("check")) {
        std::cout << path << ": settings are valid\n";
        return cli::exit_ok;
    }
    return run(*settings, path);
}
