#include "lavenderhoist/agent/sidecar.hpp"

#include "lavenderhoist/agent/control_worker.hpp"
#include "lavenderhoist/agent/internal/endpoint_of.hpp"
#include "lavenderhoist/agent/internal/is_idle.hpp"
#include "lavenderhoist/config/issue.hpp"
#include "lavenderhoist/logging/log.hpp"
#include "lavenderhoist/net/sleep.hpp"
#include "lavenderhoist/net/spawn.hpp"

#include <boost/asio/signal_set.hpp>

#include <malloc.h>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <optional>
#include <sstream>
#include <utility>

namespace lavenderhoist::agent {

namespace asio = boost::asio;
using logging::log_line;
using logging::severity;

namespace {

/** The platform redirects callers after two failed readiness checks, one second apart; until then
 * new requests are still served. */
constexpr duration readiness_notice_delay = std::chrono::milliseconds(2'800);

/** Part of the grace period kept for the exit of the process. */
constexpr duration exit_reserve = std::chrono::milliseconds(400);

/** Part of the time before the exit in which answers at the end of their time are passed on. */
constexpr duration answer_reserve = std::chrono::milliseconds(300);

/** Between two checks for remaining requests; also the timeout of a check. */
constexpr duration shutdown_poll_interval = std::chrono::milliseconds(50);

/** How often the settings file is checked for changes, since it may change without a signal. */
constexpr duration settings_interval = std::chrono::seconds(2);

/** Share of the host's memory for bytes held for others. On the smallest hosts, 160 MB, 64 MB are
 * left for the process itself and for what its allocator does not return at once. */
constexpr double held_memory_share = 0.6;

/** Allocations from this size on are returned to the system when they are freed. By default glibc
 * raises the size with each one that is freed, up to 32 MiB, and keeps as much. */
constexpr int min_mapped_bytes = 1 << 20;

/** Free memory at the end of the heap that is kept for further small allocations. */
constexpr int max_kept_heap_bytes = 4 << 20;

void bound_kept_memory() {
    mallopt(M_MMAP_THRESHOLD, min_mapped_bytes);
    mallopt(M_TRIM_THRESHOLD, max_kept_heap_bytes);
}

relay::entry_settings entry_settings_of(const agent_settings& settings) {
    relay::entry_settings result;
    result.node_id = settings.id;
    result.data_centre = settings.data_centre;
    result.service = settings.service;
    result.retry_ratio = settings.retry_ratio;
    result.extra_retries = settings.extra_retries;
    result.retry_window = settings.retry_window;
    constexpr double bytes_per_mb = 1U << 20U;
    result.max_held_bytes =
        static_cast<std::size_t>(settings.memory_mb * bytes_per_mb * held_memory_share);
    return result;
}

std::string read_file(const std::string& path) {
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace

struct sidecar::implementation {
    implementation(const agent_settings& initial_settings, std::string path,
                   const platform_codec& codec)
        : settings(initial_settings),
          settings_path(std::move(path)),
          views(std::make_unique<relay::view>()),
          data(entry_settings_of(settings),
               {endpoint_of(settings.callers), endpoint_of(settings.calls)}, codec.names(), views),
          control(context, settings, codec, views, data),
          signals(context, SIGTERM, SIGINT, SIGHUP),
          settings_text(read_file(settings_path)) {}

    void wait_for_signal();
    void check_settings(std::string_view trigger);
    asio::awaitable<void> watch_settings();
    asio::awaitable<void> shut_down();
    /** Waits until a status of the data thread satisfies `is_done`, `deadline` at the latest. */
    asio::awaitable<void>
    wait_for_status(bool (*is_done)(const std::optional<relay::data_status>&) noexcept,
                    time_point deadline);
    /** \returns nothing if the data thread does not answer in time. */
    asio::awaitable<std::optional<relay::data_status>> data_status();

    agent_settings settings;
    std::string settings_path;
    asio::io_context context{1};
    relay::view_cell views;
    relay::data_worker data;
    control_worker control;
    asio::signal_set signals;
    std::string settings_text;
    bool stopping{false};
};

void sidecar::implementation::wait_for_signal() {
    signals.async_wait([this](const boost::system::error_code& failed, int number) {
        if (failed) {
            return;
        }
        if (number == SIGHUP) {
            check_settings("signal");
        } else if (!std::exchange(stopping, true)) {
            net::spawn(context, shut_down());
        }
        wait_for_signal();
    });
}

void sidecar::implementation::check_settings(std::string_view trigger) {
    auto text = read_file(settings_path);
    if (text == settings_text) {
        return;
    }
    const auto parsed = parse_agent_settings(text, settings_path);
    settings_text = std::move(text);
    if (const auto* const issues = std::get_if<std::vector<config::issue>>(&parsed)) {
        log_line(severity::error, "settings rejected",
                 {{"why", trigger}, {"reason", config::describe(issues->front())}});
        return;
    }
    const bool has_changed = std::get<agent_settings>(parsed) != settings;
    // Settings are fixed for the life of a process: the platform restarts it to apply a change.
    log_line(severity::info, "settings read again", {{"why", trigger}, {"changed", has_changed}});
}

asio::awaitable<void> sidecar::implementation::watch_settings() {
    while (!stopping) {
        co_await net::sleep_for(context.get_executor(), settings_interval);
        check_settings("file changed");
    }
}

asio::awaitable<std::optional<relay::data_status>> sidecar::implementation::data_status() {
    const auto done = std::make_shared<net::signal>(context.get_executor());
    const auto result = std::make_shared<relay::data_status>();
    data.inspect([this, done, result](const relay::data_status& status,
                                      const metrics::recorder& /*counters*/) {
        *result = status;
        asio::post(context, [done] { done->set(); });
    });
    if (!co_await done->wait(runtime_clock::now() + shutdown_poll_interval)) {
        co_return std::nullopt;
    }
    co_return *result;
}

asio::awaitable<void> sidecar::implementation::wait_for_status(
    bool (*is_done)(const std::optional<relay::data_status>&) noexcept, time_point deadline) {
    bool must_wait = true;
    while (must_wait && runtime_clock::now() < deadline) {
        co_await net::sleep_for(context.get_executor(), shutdown_poll_interval);
        must_wait = !is_done(co_await data_status());
    }
}

asio::awaitable<void> sidecar::implementation::shut_down() {
    const auto started_at = runtime_clock::now();
    const auto deadline = started_at + settings.grace_period - exit_reserve;
    log_line(severity::info, "stopping", {{"grace_ms", settings.grace_period.count()}});
    control.begin_shutdown();
    data.begin_shutdown(deadline - answer_reserve);
    co_await net::sleep_until(context.get_executor(),
                              std::min(started_at + readiness_notice_delay, deadline));
    data.refuse_new_requests();
    co_await wait_for_status(&internal::is_idle, deadline);
    // Only the local target could still make calls. Without listeners and idle connections it
    // can't, so no request begins after the last check.
    data.close_listeners();
    co_await wait_for_status(&internal::has_delivered, deadline);
    const auto status = co_await data_status();
    const auto left = status.value_or(relay::data_status{});
    log_line(severity::info, "stopped",
             {{"data_thread_answered", status.has_value()},
              {"requests_left", left.requests},
              {"at_target", left.at_target},
              {"closing_sessions", left.closing_sessions},
              {"undelivered_peers", left.undelivered_peers}});
    context.stop();
}

sidecar::sidecar(const agent_settings& settings, std::string settings_path,
                 const platform_codec& codec)
    : implementation_(std::make_unique<implementation>(settings, std::move(settings_path), codec)) {
}

sidecar::~sidecar() = default;

void sidecar::run() {
    bound_kept_memory();
    auto& self = *implementation_;
    self.wait_for_signal();
    self.data.start();
    self.control.start();
    net::spawn(self.context, self.watch_settings());
    log_line(severity::info, "started",
             {{"service", self.settings.service}, {"data_centre", self.settings.data_centre}});
    self.context.run();
    self.data.stop();
}

} // namespace lavenderhoist::agent
