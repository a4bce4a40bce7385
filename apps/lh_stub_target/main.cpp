// lh-stub-target: a stand-in for a back end.

#include "lavenderhoist/cli/options.hpp"
#include "lavenderhoist/standin/stub_target.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <iostream>

int main(int argc, char** argv) {
    using namespace lavenderhoist;
    boost::program_options::options_description options("Options");
    options.add_options()("settings", boost::program_options::value<std::string>()->required(),
                          "settings of the stand-in (JSON)");
    const auto parsed = cli::parse(argc, argv, "lh-stub-target --settings FILE", options);
    if (parsed.exit_with) {
        return *parsed.exit_with;
    }
    const auto path = parsed.values["settings"].as<std::string>();
    const auto text = cli::read_file(path);
    if (!text) {
        std::cerr << path << ": cannot be read\n";
        return cli::exit_usage;
    }
    const auto settings = standin::parse_target_settings(*text, path);
    if (const auto* const issues = std::get_if<std::vector<config::issue>>(&settings)) {
        cli::print_issues(*issues);
        return cli::exit_usage;
    }
    boost::asio::io_context context(1);
    standin::stub_target target(context.get_executor(),
                                std::get<standin::target_settings>(settings));
    target.start();
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code& failed, int /*number*/) {
        if (!failed) {
            target.drain([&context] { context.stop(); });
        }
    });
    context.run();
    return cli::exit_ok;
}
