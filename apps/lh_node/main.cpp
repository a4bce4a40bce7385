// lh-node: the process beside each target.

#include "lavenderhoist/cli/options.hpp"
#include "lavenderhoist/config/node_settings.hpp"
#include "lavenderhoist/logging.hpp"
#include "lavenderhoist/node/node.hpp"

#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <iostream>
#include <thread>

namespace {

using namespace lavenderhoist;

/** Starts the drain of a node on SIGTERM or SIGINT; runs on a separate thread. */
class signal_watch {
public:
    explicit signal_watch(node::node& watched) : signals_(context_, SIGTERM, SIGINT) {
        signals_.async_wait([&watched](const boost::system::error_code& failed, int /*number*/) {
            if (!failed) {
                watched.request_drain();
            }
        });
        thread_ = std::thread([this] { context_.run(); });
    }
    signal_watch(const signal_watch&) = delete;
    signal_watch& operator=(const signal_watch&) = delete;
    ~signal_watch() {
        context_.stop();
        thread_.join();
    }

private:
    boost::asio::io_context context_;
    boost::asio::signal_set signals_;
    std::thread thread_;
};

int run(const config::node_settings& settings) {
    logging::set_up(settings.log_level, settings.id);
    try {
        node::node process(settings);
        const signal_watch watch(process);
        process.start();
        process.run_until_drained();
    } catch (const std::exception& failed) {
        logging::log_line(logging::severity::error, "node failed", {{"reason", failed.what()}});
        return cli::exit_failed;
    }
    return cli::exit_ok;
}

} // namespace

int main(int argc, char** argv) {
    boost::program_options::options_description options("Options");
    options.add_options()("settings", boost::program_options::value<std::string>()->required(),
                          "settings of the process (JSON)")("check", "check the settings and exit");
    const auto parsed = cli::parse(argc, argv, "lh-node --settings FILE [--check]", options);
    if (parsed.exit_with) {
        return *parsed.exit_with;
    }
    const auto path = parsed.values["settings"].as<std::string>();
    const auto settings =
        cli::read_document<config::node_settings>(path, &config::parse_node_settings);
    if (!settings) {
        return cli::exit_usage;
    }
    if (parsed.values.contains("check")) {
        std::cout << path << ": settings are valid\n";
        return cli::exit_ok;
    }
    return run(*settings);
}
