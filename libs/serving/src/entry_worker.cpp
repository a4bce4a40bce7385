#include "lavenderhoist/serving/entry_worker.hpp"

#include "lavenderhoist/call/problem.hpp"
#include "lavenderhoist/core/hash.hpp"
#include "lavenderhoist/net/sleep.hpp"
#include "lavenderhoist/net/spawn.hpp"

#include <random>
#include <utility>

namespace lavenderhoist::node {

namespace asio = boost::asio;

namespace {

constexpr std::size_t max_header_bytes = 16U << 10U;
constexpr duration header_timeout = std::chrono::seconds(5);
constexpr duration idle_timeout = std::chrono::seconds(60);
constexpr duration housekeeping_interval = std::chrono::seconds(10);

std::uint64_t random_seed() {
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

net::tcp::acceptor shared_listener(const asio::any_io_executor& executor,
                                   const config::address& where) {
    using reuse_port = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;
    const auto endpoint = net::make_endpoint(where.host, where.port);
    net::tcp::acceptor acceptor(executor);
    acceptor.open(endpoint.protocol());
    acceptor.set_option(net::tcp::acceptor::reuse_address(true));
    acceptor.set_option(reuse_port(true)); // each entry thread has a listener on the same port
    acceptor.bind(endpoint);
    acceptor.listen();
    return acceptor;
}

} // namespace

entry_worker::entry_worker(node_state& state, std::size_t /*index*/)
    : state_(state),
      front_(random_seed()),
      dispatcher_(state, worker_.executor(), counters_, random_seed()) {
    const auto& settings = state.settings;
    const auto connections = settings.max_caller_connections / settings.entry_threads;
    const net::http_server::limits bounds{static_cast<std::size_t>(connections), max_header_bytes,
                                          settings.max_body_bytes, header_timeout, idle_timeout};
    server_ = std::make_unique<net::http_server>(
        shared_listener(worker_.executor(), settings.callers), bounds,
        [this](net::request message, std::string peer, net::cancellation_ptr cancelled) {
            return serve(std::move(message), std::move(peer), std::move(cancelled));
        },
        [this](int status, std::string_view reason) {
            counters_.count("callers.malformed");
            return render_fault(status, reason);
        });
}

entry_worker::~entry_worker() {
    stop();
}

void entry_worker::start() {
    server_->start();
    net::spawn(worker_.executor(), housekeeping());
    worker_.start();
}

void entry_worker::stop() {
    worker_.stop();
}

void entry_worker::drain() {
    worker_.run_here([this] { server_->drain(); });
}

void entry_worker::close_idle() {
    worker_.run_here([this] { server_->close_idle(); });
}

std::size_t entry_worker::requests_in_flight() {
    return worker_.run_here([this] { return server_->requests_in_flight(); });
}

metrics::recorder entry_worker::collect() {
    return worker_.run_here([this] { return counters_; });
}

std::optional<refusal> entry_worker::explain(const std::string& request_id) {
    return worker_.run_here([this, &request_id] { return refusals_.find(request_id); });
}

asio::awaitable<net::response> entry_worker::serve(net::request message, std::string peer,
                                                   net::cancellation_ptr cancelled) {
    const auto started_at = runtime_clock::now();
    const auto config = state_.view.read([](const routing_view& view) { return view.config; });
    auto checked = front_.check(std::move(message), peer, config, started_at);
    if (auto* const rejected = std::get_if<call_answer>(&checked)) {
        counters_.count(std::string("rejected.") + rejected->failure.code.message());
        co_return render_for_caller(*rejected, "");
    }
    auto& accepted = std::get<accepted_request>(checked);
    const call root = accepted.root;
    retry::credit_account credits(root.credits);
    auto answer = co_await dispatcher_.dispatch(root, credits, std::move(cancelled));
    // Without a key from the caller there is no earlier attempt that may have run.
    if (answer.result == outcome::refused && !accepted.has_caller_key) {
        answer.result = outcome::not_run;
    }
    record(root, answer, started_at);
    co_return render_for_caller(answer, root.root_id);
}

void entry_worker::record(const call& root, const call_answer& answer, time_point started_at) {
    counters_.observe(root.class_name, root.caller, answer.result,
                      runtime_clock::now() - started_at);
    if (answer.result == outcome::completed) {
        return;
    }
    refusals_.add({root.root_id, root.caller, root.service, root.class_name, answer.failure,
                   answer.result, root.importance, answer.level});
}

asio::awaitable<void> entry_worker::housekeeping() {
    while (true) {
        co_await net::sleep_for(worker_.executor(), housekeeping_interval);
        dispatcher_.close_idle_connections();
    }
}

} // namespace lavenderhoist::node
