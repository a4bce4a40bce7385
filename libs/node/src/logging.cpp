#include "lavenderhoist/node/logging.hpp"

#include "lavenderhoist/core/clock.hpp"

#include <boost/core/null_deleter.hpp>
#include <boost/json.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/smart_ptr/make_shared.hpp>

#include <array>
#include <iostream>
#include <string>

namespace lavenderhoist::node {
namespace {

namespace logging = boost::log;

constexpr std::array<std::string_view, 3> names{"info", "warning", "error"};

using backend = logging::sinks::text_ostream_backend;
using sink = logging::sinks::synchronous_sink<backend>;
using logger = logging::sources::severity_logger_mt<severity>;

std::string process_name_in_lines;

logger& shared_logger() {
    static logger instance;
    return instance;
}

severity parse_severity(std::string_view name) {
    for (std::size_t i = 0; i < names.size(); ++i) {
        if (names[i] == name) {
            return static_cast<severity>(i);
        }
    }
    return severity::info;
}

} // namespace

void set_up_logging(std::string_view least, std::string_view process_name) {
    process_name_in_lines = process_name;
    auto output = boost::make_shared<backend>();
    output->add_stream(boost::shared_ptr<std::ostream>(&std::clog, boost::null_deleter()));
    output->auto_flush(true);
    auto front = boost::make_shared<sink>(output);
    front->set_formatter(logging::expressions::stream << logging::expressions::smessage);
    const auto threshold = parse_severity(least);
    front->set_filter(logging::expressions::attr<severity>("Severity") >= threshold);
    logging::core::get()->add_sink(front);
}

void log_line(severity level, std::string_view message, boost::json::object details) {
    boost::json::object line{{"time_ms", wall_time().count()},
                             {"severity", names[static_cast<std::size_t>(level)]},
                             {"process", process_name_in_lines},
                             {"message", message}};
    for (auto& detail : details) {
        line[detail.key()] = std::move(detail.value());
    }
    BOOST_LOG_SEV(shared_logger(), level) << boost::json::serialize(line);
}

} // namespace lavenderhoist::node
