#include "lavenderhoist/agent/control_worker.hpp"

#include "lavenderhoist/agent/internal/endpoint_of.hpp"
#include "lavenderhoist/agent/internal/store_pace.hpp"
#include "lavenderhoist/agent/shared_state.hpp"
#include "lavenderhoist/logging/log.hpp"
#include "lavenderhoist/net/sleep.hpp"
#include "lavenderhoist/net/spawn.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <utility>

namespace lavenderhoist::agent {

namespace asio = boost::asio;
namespace json = boost::json;
using logging::log_line;
using logging::severity;

namespace {

constexpr int status_ok = 200;
constexpr int status_not_found = 404;
constexpr int status_unavailable = 503;

constexpr net::http_server::limits listener_limits{
    64, 16U << 10U, 64U << 10U, std::chrono::seconds(5), std::chrono::seconds(60)};

/** A leave is acknowledged once the store has it, or after this time: targets wait for a second. */
constexpr duration keep_timeout = std::chrono::milliseconds(700);

/** How long the data thread may take to tell its metrics. */
constexpr duration metrics_timeout = std::chrono::milliseconds(400);

constexpr duration first_publish_pause = std::chrono::milliseconds(100);
constexpr duration longest_publish_pause = std::chrono::milliseconds(800);

/** The request path counts as stuck, and the node as not ready, after this time without a turn. */
constexpr duration data_stuck_time = std::chrono::seconds(2);

/** How long records are gathered before the next wait: configurations must be in force within two
 * seconds. */
constexpr duration configuration_gather = std::chrono::milliseconds(80);

constexpr std::size_t max_peer_answer_bytes = 16U << 20U;

net::response plain(int status, std::string text) {
    net::response message;
    message.status = status;
    message.fields.push_back({"content-type", "text/plain"});
    message.body = std::move(text);
    return message;
}

net::response render_fault(int status, std::string_view reason) {
    return plain(status, std::string(reason));
}

/** Writes each number of a document on a line of its own, named by its path. */
void flatten(const json::value& from, const std::string& path, std::string& out) {
    if (const auto* const object = from.if_object()) {
        for (const auto& member : *object) {
            flatten(member.value(),
                    path.empty() ? std::string(member.key())
                                 : path + "." + std::string(member.key()),
                    out);
        }
        return;
    }
    out += path + ' ' + json::serialize(from) + '\n';
}

} // namespace

control_worker::control_worker(asio::io_context& context, const agent_settings& settings,
                               const platform_codec& codec, relay::view_cell& views,
                               relay::data_worker& data)
    : context_(context),
      settings_(settings),
      codec_(codec),
      views_(views),
      data_(data),
      store_(context.get_executor(), endpoint_of(settings.store), codec),
      configuration_(context.get_executor(), store_, topic::configuration, configuration_gather,
                     events_for(topic::configuration)),
      hosts_(context.get_executor(), store_, topic::hosts, internal::hosts_gather(0),
             events_for(topic::hosts)),
      peers_(context.get_executor(), max_peer_answer_bytes),
      listed_hosts_(std::make_shared<std::vector<mesh::host_record>>()),
      publish_wake_(context.get_executor()),
      published_wake_(context.get_executor()),
      random_(std::random_device()()),
      started_(runtime_clock::now()) {
    const auto listener = [this](const config::address& where, auto serve) {
        return std::make_unique<net::http_server>(
            net::listen(context_.get_executor(), endpoint_of(where)), listener_limits,
            [this, serve](net::request message, std::string /*peer*/,
                          net::cancellation_ptr /*cancelled*/) {
                return (this->*serve)(std::move(message));
            },
            &render_fault);
    };
    targets_ = listener(settings.control, &control_worker::serve_target);
    readiness_ = listener(settings.ready, &control_worker::serve_readiness);
    metrics_ = listener(settings.metrics, &control_worker::serve_metrics);
}

control_worker::~control_worker() = default;

topic_follower::events control_worker::events_for(topic which) {
    const std::string name = which == topic::configuration ? "configuration" : "hosts";
    topic_follower::events events;
    events.on_record = [this, which](const store_record& record) {
        which == topic::configuration ? on_configuration(record) : on_host(record);
    };
    events.on_current = [this, which] {
        if (which == topic::hosts) {
            hosts_are_current_ = true;
            restore_own_record();
        }
        publish_view();
    };
    events.on_lost = [name](const std::string& reason) {
        log_line(severity::warning, "store lost", {{"topic", name}, {"reason", reason}});
    };
    events.on_regained = [name] { log_line(severity::info, "store regained", {{"topic", name}}); };
    return events;
}

void control_worker::start() {
    targets_->start();
    readiness_->start();
    metrics_->start();
    net::spawn(context_, configuration_.run());
    net::spawn(context_, hosts_.run());
    net::spawn(context_, publish_loop());
    net::spawn(context_, peer_loop());
}

void control_worker::begin_stop() {
    stopping_ = true;
    publish_wake_.cancel();
}

void control_worker::on_configuration(const store_record& record) {
    if (record.key == codec_.configuration_key() && !record.value.empty()) {
        take_configuration(record.value, "store");
    }
}

void control_worker::take_configuration(const std::string& text, std::string_view source) {
    const auto parsed = codec_.parse_configuration(text);
    if (const auto* const fault = std::get_if<configuration_fault>(&parsed)) {
        log_line(severity::error, "configuration rejected",
                 {{"source", source}, {"reason", fault->reason}});
        return;
    }
    const auto& table = std::get<mesh::routing_table_ptr>(parsed);
    if (table_ && table->version() <= table_->version()) {
        return;
    }
    table_ = table;
    configuration_text_ = text;
    log_line(severity::info, "configuration in force",
             {{"version", table->version()}, {"routes", table->size()}, {"source", source}});
    publish_view();
}

void control_worker::on_host(const store_record& record) {
    if (record.value.empty()) {
        return;
    }
    const auto decoded = mesh::decode_host_record(record.value);
    if (!decoded || decoded->id != record.key) {
        log_line(severity::error, "host record rejected", {{"key", record.key}});
        return;
    }
    take_host(*decoded, record.offset);
}

void control_worker::take_host(const mesh::host_record& record, std::int64_t offset) {
    if (!directory_.apply(record, offset)) {
        return;
    }
    if (record.id == settings_.id) {
        published_ = record;
        publish_wake_.cancel(); // a write of unknown outcome may have replaced a newer one
    }
    std::vector<mesh::host_record> listed;
    for (const auto& [id, placed] : directory_.hosts()) {
        listed.push_back(placed.record);
    }
    hosts_.set_gather(internal::hosts_gather(listed.size()));
    listed_hosts_ = std::make_shared<const std::vector<mesh::host_record>>(std::move(listed));
}

void control_worker::restore_own_record() {
    if (std::exchange(restored_, true)) {
        return;
    }
    if (published_) {
        target_.restore(*published_);
        log_line(severity::info, "own record restored",
                 {{"target", published_->target_id}, {"state", to_string(published_->state)}});
    }
    apply_target();
}

void control_worker::publish_view() {
    auto next = std::make_unique<relay::view>();
    next->generation = ++generation_;
    next->table = table_;
    next->hosts = listed_hosts_;
    views_.replace(std::move(next));
    share_state();
}

mesh::host_record control_worker::own_record() const {
    mesh::host_record record;
    record.id = settings_.id;
    record.data_centre = settings_.data_centre;
    record.call_address = settings_.advertised_calls;
    record.node_stopping = stopping_;
    record.state = target_.state();
    if (const auto* const known = target_.current()) {
        record.service = known->service;
        record.target_id = known->id;
        record.target_started_at_ms = known->started_at_ms;
        record.slots = known->slots;
    }
    return record;
}

void control_worker::apply_target() {
    const auto* const known = target_.current();
    if (!restored_ || known == nullptr) {
        return;
    }
    relay::target_settings settings;
    settings.id = known->id;
    settings.service = known->service;
    settings.where = endpoint_of(known->address);
    settings.slots = known->slots;
    settings.cold_left = known->cold_left;
    settings.takes_work = target_.is_accepting_work();
    const auto* const rules = table_ ? table_->find_service(known->service) : nullptr;
    settings.max_connections = rules == nullptr ? known->slots : rules->max_connections;
    data_.set_target(settings);
    publish_wake_.cancel();
}

control_worker::reply control_worker::serve_target(net::request message) {
    auto decoded = codec_.parse_target_message(message);
    if (auto* const heard = std::get_if<mesh::announcement>(&decoded)) {
        co_return co_await on_announcement(std::move(*heard));
    }
    if (auto* const heard = std::get_if<sign_off>(&decoded)) {
        co_return co_await on_sign_off(std::move(*heard));
    }
    const auto& rejected = std::get<rejected_message>(decoded);
    log_line(severity::warning, "target message rejected",
             {{"path", message.path}, {"reason", rejected.reason}});
    co_return plain(rejected.status, rejected.reason);
}

control_worker::reply control_worker::on_announcement(mesh::announcement heard) {
    const auto change = target_.on_announcement(heard);
    if (change != mesh::lifecycle_change::none) {
        log_line(severity::info, "target announced",
                 {{"target", heard.id},
                  {"born_ms", heard.started_at_ms},
                  {"sequence", heard.sequence},
                  {"slots", heard.slots},
                  {"leaving", heard.leaving},
                  {"outdated", change == mesh::lifecycle_change::outdated},
                  {"state", to_string(target_.state())}});
    }
    if (change == mesh::lifecycle_change::none || change == mesh::lifecycle_change::outdated) {
        co_return codec_.acknowledge();
    }
    apply_target();
    co_return co_await acknowledge_kept(change);
}

control_worker::reply control_worker::on_sign_off(sign_off heard) {
    const auto change = target_.on_sign_off(heard.id, heard.born_ms);
    log_line(severity::info, "target signed off",
             {{"target", heard.id}, {"state", to_string(target_.state())}});
    apply_target();
    co_return co_await acknowledge_kept(change);
}

control_worker::reply control_worker::acknowledge_kept(mesh::lifecycle_change change) {
    const bool binds =
        change == mesh::lifecycle_change::leaving || change == mesh::lifecycle_change::gone;
    const auto give_up = runtime_clock::now() + keep_timeout;
    while (binds && published_ != own_record() && runtime_clock::now() < give_up) {
        published_wake_.expires_at(give_up);
        boost::system::error_code ignored;
        co_await published_wake_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    if (binds && published_ != own_record()) {
        log_line(severity::warning, "leave acknowledged without the store",
                 {{"waited_ms", std::chrono::duration_cast<milliseconds>(keep_timeout).count()}});
    }
    co_return codec_.acknowledge();
}

asio::awaitable<void> control_worker::publish_loop() {
    auto pause = first_publish_pause;
    while (true) {
        const auto wanted = own_record();
        const bool is_news =
            restored_ && wanted.state != mesh::target_state::none && published_ != wanted;
        if (!is_news) {
            publish_wake_.expires_at(time_point::max());
            boost::system::error_code ignored;
            co_await publish_wake_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
            continue;
        }
        const store_record record{settings_.id, encode(wanted), 0};
        const auto result = co_await store_.append(topic::hosts, record);
        if (const auto* const done = std::get_if<record_appended>(&result)) {
            pause = first_publish_pause;
            take_host(wanted, done->offset);
            published_wake_.cancel();
            publish_view();
            continue;
        }
        co_await net::sleep_for(context_.get_executor(), pause);
        pause = std::min(pause * 2, longest_publish_pause);
    }
}

control_worker::reply control_worker::serve_readiness(net::request message) {
    if (message.path != codec_.readiness_path()) {
        co_return plain(status_not_found, "not found");
    }
    const auto now = runtime_clock::now();
    const bool data_runs = now - data_.last_turn() < data_stuck_time;
    const bool knows_hosts = hosts_are_current_ || !directory_.hosts().empty();
    const bool is_ready = table_ && knows_hosts && data_runs && !stopping_;
    co_return plain(is_ready ? status_ok : status_unavailable, is_ready ? "ready" : "not ready");
}

control_worker::reply control_worker::serve_metrics(net::request /*message*/) {
    const auto done = std::make_shared<net::signal>(context_.get_executor());
    const auto text = std::make_shared<std::string>();
    data_.inspect(
        [this, done, text](const relay::data_status& status, const metrics::recorder& counters) {
            flatten(counters.to_json(), "", *text);
            *text += "requests_in_flight " + std::to_string(status.requests) + "\nat_target " +
                     std::to_string(status.at_target) + "\ntarget_connections_opened " +
                     std::to_string(status.target_connections) + '\n';
            asio::post(context_, [done] { done->set(); });
        });
    co_await done->wait(runtime_clock::now() + metrics_timeout);
    *text += "hosts_known " + std::to_string(directory_.hosts().size()) + "\nstore_calls " +
             std::to_string(store_.calls()) + "\nconfiguration_version " +
             std::to_string(table_ ? table_->version() : 0) + '\n';
    co_return plain(status_ok, *text);
}

} // namespace lavenderhoist::agent
