#include "lavenderhoist/relay/data_worker.hpp"

#include "lavenderhoist/logging/log.hpp"
#include "lavenderhoist/net/h2_server.hpp"
#include "lavenderhoist/net/timer.hpp"
#include "lavenderhoist/relay/stream_codec.hpp"
#include "lavenderhoist/relay/usage_exchange.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <random>
#include <thread>
#include <unordered_set>
#include <utility>

namespace lavenderhoist::relay {

namespace asio = boost::asio;

namespace {

/** Limits for callers before a configuration is known. */
constexpr std::size_t default_header_bytes = 16U << 10U;
constexpr std::size_t default_body_bytes = 1U << 20U;
constexpr duration default_header_timeout = std::chrono::seconds(3);
constexpr duration default_idle_timeout = std::chrono::seconds(15);

constexpr std::size_t max_stream_body_bytes = 64U << 20U;
constexpr std::size_t max_sessions = 3'000;

/** Ticks between two checks of sessions and idle connections for timeouts. */
constexpr int ticks_per_sweep = 5;

/** Ticks between two log lines with the outcomes of requests: a second. */
constexpr int ticks_per_outcome_log = 10;

constexpr int status_unavailable = 503;

/** For a request that was refused for lack of memory. */
constexpr duration refused_retry_after = std::chrono::milliseconds(250);

/** Ticks between two log lines with the number of suppressed lines. */
constexpr int ticks_per_suppressed_log = 50;

/** Delay after a failed accept, most likely for lack of file descriptors. */
constexpr duration accept_retry_delay = std::chrono::milliseconds(10);

} // namespace

struct data_worker::implementation {
    implementation(const entry_settings& given, const data_listeners& listeners,
                   const wire_names& names, const view_cell& views);

    void accept();
    void tick();
    void sweep();
    void serve_stream(net::request message, net::h2_call_ptr call);
    bool serve_control_state(const net::request& message, const net::h2_call_ptr& call);
    std::string exchange_suspicions(const net::request& message);
    std::string exchange_usage(const net::request& message);
    void update_limits();
    void log_refused();

    entry_settings settings;
    asio::io_context context{1};
    net::deadline_queue deadlines;
    metrics::recorder counters;
    std::uint64_t refused_messages{0}; ///< For lack of memory, since the last log line.
    net::memory_pool_ptr memory;
    crash_watch crashes;
    quota::quota_gate quotas;
    target_port local_target;
    peer_links peers;
    entry request_entry;
    usage_exchange usage;
    net::tcp::acceptor acceptor;
    std::unique_ptr<net::h2_server> streams;
    std::shared_ptr<net::http_limits> limits;
    std::shared_ptr<net::http_session::events> events;
    std::unordered_set<std::shared_ptr<net::http_session>> sessions;
    encoded_state control_state;
    net::timer ticker;
    int ticks{0};
    std::atomic<time_point::rep> last_tick_at{0};
    std::thread thread;
};

data_worker::implementation::implementation(const entry_settings& given,
                                            const data_listeners& listeners,
                                            const wire_names& names, const view_cell& views)
    : settings(given),
      deadlines(context.get_executor()),
      memory(settings.max_held_bytes == 0
                 ? nullptr
                 : std::make_shared<net::memory_pool>(settings.max_held_bytes,
                                                      [this] {
                                                          ++refused_messages;
                                                          counters.count("memory_refused");
                                                      })),
      crashes(settings.node_id),
      quotas(settings.node_id, std::random_device()()),
      local_target(context.get_executor(), names, settings.node_id, deadlines, crashes),
      peers(context.get_executor(), deadlines, memory),
      request_entry(settings, names, views, local_target, peers, deadlines, counters, crashes,
                    quotas),
      usage(
          settings.data_centre, settings.node_id, quotas,
          [this](std::string_view organisation) { return request_entry.find_quota(organisation); }),
      acceptor(net::listen(context.get_executor(), listeners.callers)),
      limits(std::make_shared<net::http_limits>(
          net::http_limits{max_sessions, default_header_bytes, default_body_bytes,
                           default_header_timeout, default_idle_timeout})),
      events(std::make_shared<net::http_session::events>()),
      ticker(context.get_executor()) {
    streams = std::make_unique<net::h2_server>(
        net::listen(context.get_executor(), listeners.peer_streams), max_stream_body_bytes,
        net::h2_server::call_handler([this](net::request message, net::h2_call_ptr call) {
            serve_stream(std::move(message), std::move(call));
        }));
    streams->set_memory(memory, [this] {
        auto refused =
            make_failure(execution::not_run, errc::overloaded, step::stream, settings.node_id);
        refused.retry_after = refused_retry_after;
        return to_stream(std::move(refused));
    });
    local_target.set_memory(memory);
    local_target.set_callee_level(
        [this](const std::string& route) { return request_entry.callee_level(route); });
    local_target.set_run_handler([this](const std::string& route, int calls) {
        request_entry.on_run_completed(route, calls);
    });
    events->on_request = [this](const std::shared_ptr<net::http_session>& session,
                                net::request message) {
        request_entry.serve(session, std::move(message));
    };
    events->on_gone = [this](const std::shared_ptr<net::http_session>& session) {
        request_entry.on_caller_disconnected(session);
        sessions.erase(session);
    };
    events->on_rejected = [this](int status, std::string_view /*reason*/) {
        if (status != status_unavailable) { // those are counted by the memory pool
            counters.count("callers_malformed");
        }
    };
}

void data_worker::implementation::accept() {
    acceptor.async_accept([this](const boost::system::error_code& failed, net::tcp::socket socket) {
        if (!acceptor.is_open()) {
            return;
        }
        if (failed) {
            counters.count("accept_failed");
            deadlines.add(runtime_clock::now() + accept_retry_delay, [this] { accept(); });
            return;
        }
        update_limits(); // a configuration may have come since the last sweep
        if (sessions.size() < limits->max_connections) {
            const auto made =
                std::make_shared<net::http_session>(std::move(socket), limits, events, memory);
            sessions.insert(made);
            made->start();
        }
        accept();
    });
}

bool data_worker::implementation::serve_control_state(const net::request& message,
                                                      const net::h2_call_ptr& call) {
    const bool is_state_path = message.path == state_path;
    const bool is_versions_path = message.path == versions_path;
    const bool is_suspicions_path = message.path == suspicions_path;
    const bool is_usage_path = message.path == usage_path;
    if ((!is_state_path && !is_versions_path && !is_suspicions_path && !is_usage_path) ||
        !net::find_header(message.fields, "lh-id").empty()) {
        return false;
    }
    net::response answer;
    constexpr int status_ok = 200;
    answer.status = status_ok;
    if (is_versions_path && control_state.versions) {
        answer.body = control_state.versions();
    } else if (is_state_path && control_state.state) {
        answer.body = control_state.state(net::find_header(message.fields, known_versions_field));
    } else if (is_suspicions_path) {
        answer.body = exchange_suspicions(message);
    } else if (is_usage_path) {
        answer.body = exchange_usage(message);
    }
    call->answer(std::move(answer));
    return true;
}

std::string data_worker::implementation::exchange_suspicions(const net::request& message) {
    if (!message.body.empty()) {
        const auto found = quarantine::decode_suspicions(message.body.str());
        if (!found) {
            counters.count("streams_malformed");
            return {};
        }
        crashes.merge(*found);
    }
    return quarantine::encode(crashes.suspicions());
}

std::string data_worker::implementation::exchange_usage(const net::request& message) {
    auto answer = usage.on_report(message.body.str());
    if (!answer) {
        counters.count("streams_malformed");
    }
    return std::move(answer).value_or(std::string());
}

void data_worker::implementation::serve_stream(net::request message, net::h2_call_ptr call) {
    if (serve_control_state(message, call)) {
        return;
    }
    if (const auto route = parse_load_query(message)) {
        call->answer(make_load_answer(local_target.load(*route)));
        return;
    }
    auto request = from_stream(std::move(message), runtime_clock::now());
    if (!request) {
        counters.count("streams_malformed");
        call->answer(to_stream(
            make_failure(execution::not_run, errc::bad_request, step::stream, settings.node_id)));
        return;
    }
    const auto ticket = std::make_shared<target_port::ticket>(0);
    call->on_cancelled([this, ticket] { local_target.cancel(*ticket); });
    *ticket = local_target.submit(std::move(*request), [call](relay_answer answer) {
        call->answer(to_stream(std::move(answer)));
    });
}

void data_worker::implementation::tick() {
    last_tick_at = runtime_clock::now().time_since_epoch().count();
    local_target.on_window();
    peers.check_liveness();
    request_entry.refresh_levels();
    request_entry.on_window();
    crashes.tell_cleared();
    ++ticks;
    if (ticks % ticks_per_sweep == 0) {
        sweep();
    }
    if (ticks % ticks_per_outcome_log == 0) {
        request_entry.log_outcomes();
        log_refused();
    }
    if (ticks % ticks_per_suppressed_log == 0) {
        request_entry.log_suppressed();
    }
    ticker.expires_after(admission::controller::window_length);
    ticker.async_wait([this](const boost::system::error_code& stopped) {
        if (!stopped) {
            tick();
        }
    });
}

void data_worker::implementation::log_refused() {
    if (const auto count = std::exchange(refused_messages, 0); count > 0) {
        logging::log_line(logging::severity::warning, "messages refused for lack of memory",
                          {{"refused", count},
                           {"held_bytes", memory->account().total()},
                           {"max_held_bytes", settings.max_held_bytes}});
    }
}

void data_worker::implementation::update_limits() {
    if (const auto* const configured = request_entry.limits()) {
        *limits = {max_sessions, configured->max_header_bytes, configured->max_body_bytes,
                   configured->header_timeout, configured->idle_timeout};
    }
}

void data_worker::implementation::sweep() {
    update_limits();
    local_target.close_expiring_links();
    const auto now = runtime_clock::now();
    const std::vector<std::shared_ptr<net::http_session>> open(sessions.begin(), sessions.end());
    for (const auto& session : open) {
        session->check_time(now);
        if (!session->is_open()) {
            sessions.erase(session);
        }
    }
}

data_worker::data_worker(const entry_settings& settings, const data_listeners& listeners,
                         const wire_names& names, const view_cell& views)
    : implementation_(std::make_unique<implementation>(settings, listeners, names, views)) {}

data_worker::~data_worker() {
    stop();
}

void data_worker::start() {
    auto& self = *implementation_;
    self.thread = std::thread([&self] {
        const rcu_reader reader;
        self.streams->start();
        self.accept();
        self.tick();
        self.context.run();
    });
}

void data_worker::stop() {
    implementation_->context.stop();
    if (implementation_->thread.joinable()) {
        implementation_->thread.join();
    }
}

void data_worker::set_target(std::optional<target_settings> target) {
    asio::post(implementation_->context, [this, target = std::move(target)] {
        implementation_->local_target.set_target(target);
    });
}

void data_worker::set_departure_handler(target_port::departure_handler handler) {
    implementation_->local_target.set_departure_handler(std::move(handler));
}

void data_worker::set_crash_handler(crash_watch::news_handler handler) {
    implementation_->crashes.set_news_handler(std::move(handler));
}

void data_worker::merge_suspicions(std::vector<quarantine::suspicion> found) {
    asio::post(implementation_->context,
               [this, found = std::move(found)] { implementation_->crashes.merge(found); });
}

void data_worker::take_usage_report(std::function<void(std::string)> take) {
    asio::post(implementation_->context,
               [this, take = std::move(take)] { take(implementation_->usage.local_report()); });
}

void data_worker::collect_usage(std::function<void(std::string)> take) {
    asio::post(implementation_->context,
               [this, take = std::move(take)] { take(implementation_->usage.collect_local()); });
}

void data_worker::set_allowances(std::string answer) {
    asio::post(implementation_->context, [this, answer = std::move(answer)] {
        if (!implementation_->usage.apply_allowances(answer)) {
            implementation_->counters.count("streams_malformed");
        }
    });
}

void data_worker::merge_usage_report(std::string answer) {
    asio::post(implementation_->context, [this, answer = std::move(answer)] {
        if (!implementation_->usage.on_report(answer)) {
            implementation_->counters.count("streams_malformed");
        }
    });
}

void data_worker::set_shared_state(encoded_state state) {
    asio::post(implementation_->context, [this, state = std::move(state)]() mutable {
        implementation_->control_state = std::move(state);
    });
}

void data_worker::set_versions(std::function<std::string()> versions) {
    asio::post(implementation_->context, [this, versions = std::move(versions)]() mutable {
        implementation_->control_state.versions = std::move(versions);
    });
}

void data_worker::begin_shutdown(time_point answers_until) {
    asio::post(implementation_->context, [this, answers_until] {
        implementation_->request_entry.begin_shutdown(answers_until);
        implementation_->local_target.set_answers_until(answers_until);
        implementation_->streams->drain();
    });
}

void data_worker::refuse_new_requests() {
    asio::post(implementation_->context, [this] {
        implementation_->request_entry.refuse_callers();
        implementation_->local_target.refuse_new_requests();
    });
}

void data_worker::close_listeners() {
    asio::post(implementation_->context, [this] {
        boost::system::error_code ignored;
        implementation_->acceptor.close(ignored);
        const auto sessions = implementation_->sessions;
        for (const auto& session : sessions) {
            session->close_if_idle();
        }
    });
}

void data_worker::inspect(std::function<void(const data_status&, const metrics::recorder&)> take) {
    asio::post(implementation_->context, [this, take = std::move(take)] {
        const auto& self = *implementation_;
        const auto closing = std::ranges::count_if(
            self.sessions, [](const auto& session) { return session->is_closing(); });
        take({self.request_entry.in_flight(), self.local_target.in_flight(),
              self.local_target.totals().opened_connections, static_cast<std::size_t>(closing),
              self.streams->undelivered_connections()},
             self.counters);
    });
}

time_point data_worker::last_tick_at() const noexcept {
    return time_point(duration(implementation_->last_tick_at.load()));
}

} // namespace lavenderhoist::relay
