#include "lavenderhoist/logging/log.hpp"

#include "lavenderhoist/core/clock.hpp"

#include <boost/core/null_deleter.hpp>
#include <boost/json.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/smart_ptr/make_shared.hpp>

#include <array>
#include <atomic>
#include <iostream>
#include <string>

namespace lavenderhoist::logging {
namespace {

namespace log = boost::log;

constexpr std::array<std::string_view, 3> names{"info", "warning", "error"};

/** Lines that wait for the writing thread; at a few hundred bytes each, about a megabyte. */
constexpr std::size_t queue_lines = 4'096;

std::atomic<std::uint64_t> dropped{0};

/** Drops the new line when the queue is full, and counts it. */
struct drop_and_count {
    template <typename Lock>
    static bool on_overflow(const log::record_view& /*line*/, Lock& /*lock*/) {
        dropped.fetch_add(1, std::memory_order_relaxed);
        return false;
    }
    static void on_queue_space_available() {}
    static void interrupt() {}
};

using backend = log::sinks::text_ostream_backend;
using sink =
    log::sinks::asynchronous_sink<backend,
                                  log::sinks::bounded_fifo_queue<queue_lines, drop_and_count>>;
using logger = log::sources::severity_logger_mt<severity>;

std::string process_name_in_lines;
boost::shared_ptr<sink> writer;

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

void set_up(std::string_view min_severity, std::string_view process_name) {
    process_name_in_lines = process_name;
    auto output = boost::make_shared<backend>();
    output->add_stream(boost::shared_ptr<std::ostream>(&std::cout, boost::null_deleter()));
    output->auto_flush(true);
    writer = boost::make_shared<sink>(output);
    writer->set_formatter(log::expressions::stream << log::expressions::smessage);
    const auto threshold = parse_severity(min_severity);
    writer->set_filter(log::expressions::attr<severity>("Severity") >= threshold);
    log::core::get()->add_sink(writer);
}

void shut_down() {
    if (!writer) {
        return;
    }
    log::core::get()->remove_sink(writer);
    writer->stop();
    writer->flush();
    writer.reset();
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

std::uint64_t dropped_lines() noexcept {
    return dropped.load(std::memory_order_relaxed);
}

} // namespace lavenderhoist::logging
