#include "lavenderhoist/standin/stub_target.hpp"

#include "lavenderhoist/net/cancel_scope.hpp"
#include "lavenderhoist/net/sleep.hpp"
#include "lavenderhoist/net/spawn.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <utility>

namespace lavenderhoist::standin {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::size_t max_header_bytes = 32U << 10U;
constexpr std::size_t max_body_bytes = 4U << 20U;
constexpr std::size_t max_egress_connections = 4'096;
constexpr std::size_t max_admin_connections = 16;
constexpr duration exchange_timeout = std::chrono::seconds(30);
constexpr duration idle_timeout = std::chrono::minutes(10);
constexpr duration announcement_interval = std::chrono::milliseconds(500);
constexpr duration announcement_timeout = std::chrono::milliseconds(400);
constexpr duration drain_notice = std::chrono::seconds(3);
constexpr duration drain_poll_interval = std::chrono::milliseconds(20);
constexpr double cold_start_factor = 3;
constexpr int first_error = 400;

net::response reply(int status, const json::value& body) {
    return {status, {{"content-type", "application/json"}}, json::serialize(body)};
}

net::response plain_fault(int status, std::string_view reason) {
    return reply(status, json::object{{"error", reason}});
}

/** An answer that declares, by the header lh-outcome, that the target did not run the request. */
net::response shed(int status, std::string_view reason) {
    auto message = plain_fault(status, reason);
    message.fields.push_back({"lh-outcome", "refused"});
    return message;
}

/** True if the field holds a wall-clock time in ms that has passed. */
bool has_passed(const net::request& message, std::string_view field) {
    const auto text = net::find_header(message.fields, field);
    std::int64_t due_ms = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), due_ms);
    return !text.empty() && parsed.ec == std::errc() && wall_time().count() > due_ms;
}

net::tcp::acceptor listener(const asio::any_io_executor& executor, const config::address& where) {
    return net::listen(executor, net::make_endpoint(where.host, where.port));
}

} // namespace

stub_target::stub_target(asio::any_io_executor executor, target_settings settings)
    : executor_(executor),
      settings_(std::move(settings)),
      started_(runtime_clock::now()),
      generation_(static_cast<std::uint64_t>(wall_time().count())),
      egress_(executor, net::make_endpoint(settings_.egress.host, settings_.egress.port),
              {max_egress_connections, max_body_bytes}) {
    const net::http_server::limits bounds{static_cast<std::size_t>(settings_.connections),
                                          max_header_bytes, max_body_bytes, exchange_timeout,
                                          idle_timeout};
    server_ = std::make_unique<net::http_server>(
        listener(executor, settings_.listen), bounds,
        [this](net::request message, std::string /*peer*/, net::cancellation_ptr cancelled) {
            return serve(std::move(message), std::move(cancelled));
        },
        &plain_fault);
    const net::http_server::limits admin_bounds{max_admin_connections, max_header_bytes,
                                                max_body_bytes, exchange_timeout, idle_timeout};
    admin_ = std::make_unique<net::http_server>(
        listener(executor, settings_.admin), admin_bounds,
        [this](net::request message, std::string /*peer*/, net::cancellation_ptr /*cancelled*/) {
            return serve_admin(std::move(message));
        },
        &plain_fault);
}

void stub_target::start() {
    server_->start();
    admin_->start();
    net::spawn(executor_, announce_loop());
}

asio::awaitable<bool> stub_target::take_slot(net::cancellation_ptr cancelled) {
    if (busy_ < settings_.slots) {
        ++busy_;
        co_return true;
    }
    const auto slot_assigned = std::make_shared<net::signal>(executor_);
    queue_.push_back(slot_assigned);
    bool is_cancelled = false;
    const net::cancel_scope scope(*cancelled, [this, slot_assigned, &is_cancelled] {
        if (std::erase(queue_, slot_assigned) > 0) {
            is_cancelled = true;
            slot_assigned->set();
        }
    });
    co_await slot_assigned->wait(time_point::max());
    co_return !is_cancelled;
}

void stub_target::free_slot() {
    if (queue_.empty()) {
        --busy_;
        return;
    }
    const auto next = queue_.front();
    queue_.pop_front();
    next->set();
}

asio::awaitable<net::response> stub_target::serve(net::request message,
                                                  net::cancellation_ptr cancelled) {
    if (message.path == "/health" || message.path == "/load") {
        // Independent of load and faults, so that tests cover a health check that is wrong.
        co_return reply(200, json::object{{"status", "ok"}, {"load", 0}});
    }
    const bool is_full =
        busy_ >= settings_.slots && queue_.size() >= static_cast<std::size_t>(settings_.queue);
    if (faults_.refuse || is_full) {
        ++shed_;
        co_return shed(503, "no slot");
    }
    if (faults_.hang) {
        co_await net::sleep_for(executor_, exchange_timeout);
        co_return plain_fault(504, "hung");
    }
    const bool has_slot = co_await take_slot(std::move(cancelled));
    if (!has_slot) {
        co_return shed(503, "cancelled while waiting");
    }
    if (has_passed(message, "lh-deadline-ms") || has_passed(message, "lh-start-by-ms")) {
        ++expired_;
        free_slot();
        co_return shed(504, "too late to start");
    }
    auto answer = co_await execute(std::move(message));
    free_slot();
    co_return answer;
}

asio::awaitable<net::response> stub_target::execute(net::request message) {
    if (!faults_.poison.empty() && message.body.str().find(faults_.poison) != std::string::npos) {
        std::_Exit(1); // simulates a crash caused by the request
    }
    const std::string key(net::find_header(message.fields, "idempotency-key"));
    executions_.push_back({key, message.path, wall_time().count()});
    co_await work();
    for (const auto& call : settings_.calls) {
        if (!message.path.starts_with(call.prefix)) {
            continue;
        }
        auto answer = co_await call_downstream(call, message);
        if (answer.status >= first_error) {
            auto failure = plain_fault(503, "a call to " + call.path + " failed");
            // The request has partly run here, even if the downstream call was refused.
            failure.fields.push_back({"lh-outcome", "unknown"});
            co_return failure;
        }
    }
    ++completed_;
    co_return reply(200, json::object{{"target", settings_.id},
                                      {"service", settings_.service},
                                      {"path", message.path},
                                      {"key", key},
                                      {"echo", message.body.str()}});
}

asio::awaitable<void> stub_target::work() {
    const bool is_cold = runtime_clock::now() - started_ < settings_.cold_start;
    const double factor = faults_.slow_factor * (is_cold ? cold_start_factor : 1);
    const auto length = duration(settings_.service_time) * factor;
    co_await net::sleep_for(executor_, std::chrono::duration_cast<duration>(length));
}

asio::awaitable<net::response> stub_target::call_downstream(const downstream_call& call,
                                                            const net::request& message) {
    net::request child{call.method, call.path, {}, message.body};
    const auto context = net::find_header(message.fields, "lh-context");
    child.fields.push_back({"lh-context", std::string(context)});
    const auto result =
        co_await egress_.exchange(child, runtime_clock::now() + exchange_timeout, nullptr);
    if (result.code) {
        co_return plain_fault(502, "no answer from the node");
    }
    co_return result.answer;
}

asio::awaitable<net::response> stub_target::serve_admin(net::request message) {
    if (message.path == "/_stub/faults") {
        co_return set_faults(message);
    }
    if (message.path == "/_stub/record") {
        co_return record();
    }
    if (message.path == "/_stub/status") {
        co_return status();
    }
    co_return plain_fault(404, "no such resource");
}

net::response stub_target::set_faults(const net::request& message) {
    json::error_code failed;
    const auto parsed = json::parse(message.body.str(), failed);
    if (failed || !parsed.is_object()) {
        return plain_fault(400, "expected an object");
    }
    const auto& object = parsed.get_object();
    faults next;
    if (const auto* const factor = object.if_contains("slow_factor")) {
        next.slow_factor = factor->to_number<double>();
    }
    if (const auto* const hang = object.if_contains("hang")) {
        next.hang = hang->as_bool();
    }
    if (const auto* const refuse = object.if_contains("refuse")) {
        next.refuse = refuse->as_bool();
    }
    if (const auto* const poison = object.if_contains("poison")) {
        next.poison.assign(poison->as_string().data(), poison->as_string().size());
    }
    faults_ = next;
    return reply(200, json::object{});
}

net::response stub_target::record() const {
    json::array list;
    for (const auto& one : executions_) {
        list.emplace_back(json::array{one.key, one.path, one.began_ms});
    }
    return reply(200, json::object{{"executions", std::move(list)}});
}

net::response stub_target::status() const {
    return reply(200, json::object{{"executions", executions_.size()},
                                   {"completed", completed_},
                                   {"shed", shed_},
                                   {"expired", expired_},
                                   {"busy", busy_},
                                   {"queued", queue_.size()}});
}

asio::awaitable<void> stub_target::announce() {
    const json::object body{{"service", settings_.service},
                            {"generation", generation_},
                            {"address", config::to_string(settings_.listen)},
                            {"draining", draining_}};
    net::request message{"POST", "/_lh/announce", {}, json::serialize(body)};
    co_await egress_.exchange(message, runtime_clock::now() + announcement_timeout, nullptr);
}

asio::awaitable<void> stub_target::announce_loop() {
    while (true) {
        co_await announce();
        co_await net::sleep_for(executor_, announcement_interval);
    }
}

void stub_target::drain(std::function<void()> done) {
    draining_ = true;
    net::spawn(executor_, drain_loop(std::move(done)));
}

asio::awaitable<void> stub_target::drain_loop(std::function<void()> done) {
    co_await announce();
    co_await net::sleep_for(executor_, drain_notice);
    while (busy_ > 0 || server_->requests_in_flight() > 0) {
        co_await net::sleep_for(executor_, drain_poll_interval);
    }
    done();
}

} // namespace lavenderhoist::standin
