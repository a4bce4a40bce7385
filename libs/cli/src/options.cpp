#include "lavenderhoist/cli/options.hpp"

#include <boost/program_options.hpp>

#include <fstream>
#include <iostream>
#include <sstream>

namespace lavenderhoist::cli {

namespace po = boost::program_options;

parsed_options parse(int argc, const char* const* argv, std::string_view usage,
                     const po::options_description& options,
                     const po::positional_options_description* positional) {
    po::options_description all(options);
    all.add_options()("help,h", "print this help")("version", "print the version");
    parsed_options result;
    try {
        po::command_line_parser parser(argc, argv);
        parser.options(all);
        if (positional != nullptr) {
            parser.positional(*positional);
        }
        po::store(parser.run(), result.values);
        if (result.values.contains("help")) {
            std::cout << usage << "\n\n" << all;
            result.exit_with = exit_ok;
        } else if (result.values.contains("version")) {
            std::cout << "lavenderhoist " LAVENDERHOIST_VERSION "\n";
            result.exit_with = exit_ok;
        } else {
            po::notify(result.values);
        }
    } catch (const po::error& failed) {
        std::cerr << failed.what() << "\n";
        result.exit_with = exit_usage;
    }
    return result;
}

std::optional<std::string> read_file(const std::string& path) {
    const std::ifstream file(path);
    if (!file) {
        return std::nullopt;
    }
    std::ostringstream content;
    content << file.rdbuf();
    return content.str();
}

void print_issues(std::span<const config::issue> issues) {
    for (const auto& found : issues) {
        std::cerr << config::describe(found) << "\n";
    }
}

} // namespace lavenderhoist::cli
