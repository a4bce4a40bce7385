#pragma once

#include "lavenderhoist/config/address.hpp"

#include <boost/program_options/variables_map.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lavenderhoist::lhctl {

/** \brief The parsed command line. */
struct command_line {
    std::vector<std::string> words;
    config::address node;
    std::string token;
    std::string author;
    std::string id;
    std::optional<std::int64_t> replaces;
    bool as_json{false};
};

/** \returns false, with a line on standard error, if an option's value is wrong. */
bool read_command_line(const boost::program_options::variables_map& values, command_line& result);

/** \brief Runs a command. \returns the exit code. */
int run(const command_line& given);

} // namespace lavenderhoist::lhctl
