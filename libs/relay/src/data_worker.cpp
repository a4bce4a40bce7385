#include "lavenderhoist/relay/data_worker.hpp"

#include "lavenderhoist/net/h2_server.hpp"
#include "lavenderhoist/net/timer.hpp"
#include "lavenderhoist/relay/stream_codec.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

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

/** Ticks between two looks at sessions and idle connections. */
constexpr int ticks_per_sweep = 5;

/** Ticks between two lines of sums: a second. */
constexpr int ticks_per_sums = 10;

/** Ticks between two lines about suppressed lines. */
constexpr int ticks_per_report = 50;

/** Before the next try when accepting has failed: out of descriptors, most likely. */
constexpr duration accept_pause = std::chrono::milliseconds(10);

} // namespace

struct data_worker::implementation {
    implementation(const entry_settings& given, const data_listeners& listeners,
                   const wire_names& names, const view_cell& views);

    void accept();
    void tick();
    void sweep();
    void serve_stream(net::request message, net::h2_call_ptr call);
    bool serve_shared(const net::request& message, const net::h2_call_ptr& call) const;
    void take_limits();

    entry_settings settings;
    asio::io_context context{1};
    net::deadline_queue deadlines;
    metrics::recorder counters;
    target_port own_target;
    peer_links peers;
    entry front;
    net::tcp::acceptor acceptor;
    std::unique_ptr<net::h2_server> streams;
    std::shared_ptr<net::http_limits> limits;
    std::shared_ptr<net::http_session::events> events;
    std::unordered_set<std::shared_ptr<net::http_session>> sessions;
    shared_texts shared;
    net::timer ticker;
    int ticks{0};
    std::atomic<time_point::rep> last_turn{0};
    std::thread thread;
};

data_worker::implementation::implementation(const entry_settings& given,
                                            const data_listeners& listeners,
                                            const wire_names& names, const view_cell& views)
    : settings(given),
      deadlines(context.get_executor()),
      own_target(context.get_executor(), names, settings.node_id, deadlines),
      peers(context.get_executor(), deadlines),
      front(settings, names, views, own_target, peers, deadlines, counters),
      acceptor(net::listen(context.get_executor(), listeners.callers)),
      limits(std::make_shared<net::http_limits>(
          net::http_limits{max_sessions, default_header_bytes, default_body_bytes,
                           default_header_timeout, default_idle_timeout})),
      events(std::make_shared<net::http_session::events>()),
      ticker(context.get_executor()) {
    streams = std::make_unique<net::h2_server>(
        net::listen(context.get_executor(), listeners.calls), max_stream_body_bytes,
        net::h2_server::call_handler([this](net::request message, net::h2_call_ptr call) {
            serve_stream(std::move(message), std::move(call));
        }));
    own_target.set_callee_level(
        [this](const std::string& route) { return front.callee_level(route); });
    events->on_request = [this](const std::shared_ptr<net::http_session>& session,
                                net::request message) { front.serve(session, std::move(message)); };
    events->on_gone = [this](const std::shared_ptr<net::http_session>& session) {
        front.on_gone(session);
        sessions.erase(session);
    };
    events->on_rejected = [this](int /*status*/, std::string_view /*reason*/) {
        counters.count("callers_malformed");
    };
}

void data_worker::implementation::accept() {
    acceptor.async_accept([this](const boost::system::error_code& failed, net::tcp::socket socket) {
        if (!acceptor.is_open()) {
            return;
        }
        if (failed) {
            counters.count("accept_failed");
            deadlines.add(runtime_clock::now() + accept_pause, [this] { accept(); });
            return;
        }
        if (sessions.size() < limits->max_connections) {
            const auto made =
                std::make_shared<net::http_session>(std::move(socket), limits, events);
            sessions.insert(made);
            made->start();
        }
        accept();
    });
}

bool data_worker::implementation::serve_shared(const net::request& message,
                                               const net::h2_call_ptr& call) const {
    const bool wants_state = message.path == state_path;
    const bool wants_versions = message.path == versions_path;
    if ((!wants_state && !wants_versions) || !net::find_header(message.fields, "lh-id").empty()) {
        return false;
    }
    net::response answer;
    constexpr int status_ok = 200;
    answer.status = status_ok;
    answer.body = wants_versions ? shared.versions : shared.state ? *shared.state : "";
    call->answer(answer);
    return true;
}

void data_worker::implementation::serve_stream(net::request message, net::h2_call_ptr call) {
    if (serve_shared(message, call)) {
        return;
    }
    if (const auto route = parse_load_question(message)) {
        call->answer(make_load_answer(own_target.load(*route)));
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
    call->on_cancelled([this, ticket] { own_target.cancel(*ticket); });
    *ticket = own_target.submit(std::move(*request),
                                [call](relay_answer answer) { call->answer(to_stream(answer)); });
}

void data_worker::implementation::tick() {
    last_turn = runtime_clock::now().time_since_epoch().count();
    own_target.on_window();
    peers.watch();
    front.refresh_levels();
    ++ticks;
    if (ticks % ticks_per_sweep == 0) {
        sweep();
    }
    if (ticks % ticks_per_sums == 0) {
        front.log_outcomes();
    }
    if (ticks % ticks_per_report == 0) {
        front.log_suppressed();
    }
    ticker.expires_after(admission::controller::window_length);
    ticker.async_wait([this](const boost::system::error_code& stopped) {
        if (!stopped) {
            tick();
        }
    });
}

void data_worker::implementation::take_limits() {
    if (const auto* const wanted = front.limits()) {
        *limits = {max_sessions, wanted->max_header_bytes, wanted->max_body_bytes,
                   wanted->header_timeout, wanted->idle_timeout};
    }
}

void data_worker::implementation::sweep() {
    take_limits();
    own_target.close_idle();
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
        implementation_->own_target.set_target(target);
    });
}

void data_worker::set_shared_state(shared_texts texts) {
    asio::post(implementation_->context, [this, texts = std::move(texts)]() mutable {
        implementation_->shared = std::move(texts);
    });
}

void data_worker::begin_stop() {
    asio::post(implementation_->context, [this] {
        implementation_->front.begin_stop();
        implementation_->streams->drain();
    });
}

void data_worker::refuse_new() {
    asio::post(implementation_->context, [this] {
        implementation_->front.refuse_callers();
        implementation_->own_target.refuse_all();
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
        take({self.front.in_flight(), self.own_target.in_flight(),
              self.own_target.counted().connections},
             self.counters);
    });
}

time_point data_worker::last_turn() const noexcept {
    return time_point(duration(implementation_->last_turn.load()));
}

} // namespace lavenderhoist::relay
