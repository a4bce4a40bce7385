#pragma once

#include "lavenderhoist/config/issue.hpp"

#include <boost/program_options/options_description.hpp>
#include <boost/program_options/positional_options.hpp>
#include <boost/program_options/variables_map.hpp>

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace lavenderhoist::cli {

/** \brief Exit codes shared by the programs. */
enum exit_code : int {
    exit_ok = 0,
    exit_failed = 1,      ///< The operation was refused or failed, without partial effect.
    exit_usage = 2,       ///< Wrong command line, settings or configuration.
    exit_conflict = 3,    ///< Another configuration is in force.
    exit_unknown = 4,     ///< The operation may have taken effect.
    exit_unreachable = 5, ///< The node did not answer.
};

/** \brief A parsed command line, or the exit code to terminate with immediately. */
struct parsed_options {
    boost::program_options::variables_map values;
    std::optional<int> exit_with;
};

/**
 * \brief Parses a command line; answers `--help` and `--version`, rejects unknown options.
 * \param usage first line of the help. \param options options of the program besides these two.
 */
parsed_options
parse(int argc, const char* const* argv, std::string_view usage,
      const boost::program_options::options_description& options,
      const boost::program_options::positional_options_description* positional = nullptr);

/** \brief Reads a whole file. \returns nothing if it cannot be read. */
std::optional<std::string> read_file(const std::string& path);

/** \brief Prints each issue on one line of standard error. */
void print_issues(std::span<const config::issue> issues);

/**
 * \brief Reads and parses a file, and prints its issues on standard error.
 * \param parse returns a variant of the value and a vector of issues.
 * \returns the value, or nothing if the file cannot be read or has issues.
 */
template <typename Value, typename Parse>
std::optional<Value> read_document(const std::string& path, Parse&& parse) {
    const auto text = read_file(path);
    if (!text) {
        print_issues(
            std::vector<config::issue>{{path, "$", "the file cannot be read", "a JSON document"}});
        return std::nullopt;
    }
    auto parsed = std::forward<Parse>(parse)(*text, path);
    if (const auto* const issues = std::get_if<std::vector<config::issue>>(&parsed)) {
        print_issues(*issues);
        return std::nullopt;
    }
    return std::get<Value>(std::move(parsed));
}

} // namespace lavenderhoist::cli
