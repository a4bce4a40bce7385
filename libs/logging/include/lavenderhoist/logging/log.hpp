#pragma once

#include <boost/json/object.hpp>

#include <cstdint>
#include <string_view>

namespace lavenderhoist::logging {

/** \brief Severities of log lines. */
enum class severity : std::uint8_t { info, warning, error };

/**
 * \brief Sets up logging by Boost.Log: one JSON object a line on standard output.
 *
 * A thread of its own writes the lines from a bounded queue. Lines that find it full are dropped
 * and counted, so that a reader of the output that stalls never holds up a request.
 *
 * \param min_severity lines below this severity are dropped. \param process_name goes into every
 * line.
 */
void set_up(std::string_view min_severity, std::string_view process_name);

/** \brief Writes what is queued and ends the writing thread. */
void shut_down();

/** \brief Queues a line. \param message names the event; the same event has the same message. */
void log_line(severity level, std::string_view message, boost::json::object details = {});

/** \brief Lines dropped so far since the queue was full. */
std::uint64_t dropped_lines() noexcept;

} // namespace lavenderhoist::logging
