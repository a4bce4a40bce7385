#pragma once

#include <boost/json/object.hpp>

#include <cstdint>
#include <string_view>

namespace lavenderhoist::node {

/** \brief Severities of log lines. */
enum class severity : std::uint8_t { info, warning, error };

/**
 * \brief Sets up logging by Boost.Log: one JSON object a line on standard error.
 * \param least lines below this severity are dropped. \param process_name goes into every line.
 */
void set_up_logging(std::string_view least, std::string_view process_name);

/** \brief Writes a line about a change of state. What happens per request is counted instead. */
void log_line(severity level, std::string_view message, boost::json::object details = {});

} // namespace lavenderhoist::node
