// lh-stub-log: a stand-in for the platform's append-only log.

#include "lavenderhoist/cli/options.hpp"
#include "lavenderhoist/config/address.hpp"
#include "lavenderhoist/standin/stub_log.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <iostream>

int main(int argc, char** argv) {
    using namespace lavenderhoist;
    namespace po = boost::program_options;
    po::options_description options("Options");
    options.add_options()("listen", po::value<std::string>()->required(), "IP:port")(
        "retention-ms", po::value<std::int64_t>()->default_value(3'600'000),
        "retention of records in ms");
    const auto parsed = cli::parse(argc, argv, "lh-stub-log --listen IP:PORT", options);
    if (parsed.exit_with) {
        return *parsed.exit_with;
    }
    const auto where = config::parse_address(parsed.values["listen"].as<std::string>());
    if (!where) {
        std::cerr << "--listen: expected IP:port\n";
        return cli::exit_usage;
    }
    boost::asio::io_context context(1);
    const milliseconds retention(parsed.values["retention-ms"].as<std::int64_t>());
    standin::stub_log log(
        net::listen(context.get_executor(), net::make_endpoint(where->host, where->port)),
        retention);
    log.start();
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&context](const auto& /*failed*/, int /*number*/) { context.stop(); });
    context.run();
    return cli::exit_ok;
}
