// lh-stub-target: a stand-in for a back end.

#include "lavenderhoist/cli/options.hpp"
#include "lavenderhoist/standin/stub_target.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

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
    const auto settings =
        cli::read_document<standin::target_settings>(path, &standin::parse_target_settings);
    if (!settings) {
        return cli::exit_usage;
    }
    boost::asio::io_context context(1);
    standin::stub_target target(context.get_executor(), *settings);
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
