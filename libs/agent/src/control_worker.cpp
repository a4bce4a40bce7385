#include "lavenderhoist/agent/control_worker.hpp"

#include "lavenderhoist/agent/internal/endpoint_of.hpp"
#include "lavenderhoist/agent/internal/host_batch_delay.hpp"
#include "lavenderhoist/agent/internal/in_ms.hpp"
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
using internal::in_ms;
using logging::log_line;
using logging::severity;

namespace {

constexpr int status_ok = 200;
constexpr int status_not_found = 404;
constexpr int status_unavailable = 503;

constexpr net::http_server::limits listener_limits{
    64, 16U << 10U, 64U << 10U, std::chrono::seconds(5), std::chrono::seconds(60)};

/** The departure of a target is acknowledged once the store has confirmed it, or after this time:
 * targets wait for one second. */
constexpr duration acknowledge_timeout = std::chrono::milliseconds(700);

/** How long a metrics request waits for the data thread's metrics. */
constexpr duration metrics_timeout = std::chrono::milliseconds(400);

/** Backoff between attempts to append the local record. */
constexpr duration min_publish_backoff = std::chrono::milliseconds(100);
constexpr duration max_publish_backoff = std::chrono::milliseconds(800);

/** The node is not ready if the data thread's event loop has not run for this time. */
constexpr duration data_stall_timeout = std::chrono::seconds(2);

/** Pause after a new configuration before the next long poll; short, since a configuration must be
 * in force within two seconds. */
constexpr duration configuration_batch_delay = std::chrono::milliseconds(80);

constexpr std::size_t max_peer_answer_bytes = 16U << 20U;

net::response make_text_response(int status, std::string text) {
    net::response message;
    message.status = status;
    message.fields.push_back({"content-type", "text/plain"});
    message.body = std::move(text);
    return message;
}

net::response render_error(int status, std::string_view reason) {
    return make_text_response(status, std::string(reason));
}

/** Writes each value of a document on a line of its own, after its dotted path. */
void write_metric_lines(const json::value& from, const std::string& path, std::string& out) {
    if (const auto* const object = from.if_object()) {
        for (const auto& member : *object) {
            write_metric_lines(member.value(),
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
      configuration_follower_(context.get_executor(), store_, topic::configuration,
                              configuration_batch_delay, make_events(topic::configuration)),
      hosts_follower_(context.get_executor(), store_, topic::hosts, internal::host_batch_delay(0),
                      make_events(topic::hosts)),
      peers_(context.get_executor(), max_peer_answer_bytes),
      readers_(settings.id, settings.data_centre),
      configuration_knowledge_(runtime_clock::now()),
      listed_hosts_(std::make_shared<std::vector<mesh::host_record>>()),
      publish_wakeup_(context.get_executor()),
      stored_wakeup_(context.get_executor()),
      confirm_wakeup_(context.get_executor()),
      random_(std::random_device()()),
      started_at_(runtime_clock::now()) {
    const auto listener = [this](const config::address& where, auto serve) {
        return std::make_unique<net::http_server>(
            net::listen(context_.get_executor(), endpoint_of(where)), listener_limits,
            [this, serve](net::request message, std::string /*peer*/,
                          net::cancellation_ptr /*cancelled*/) {
                return (this->*serve)(std::move(message));
            },
            &render_error);
    };
    data_.set_departure_handler([this](const std::string& target_id, std::int64_t started_at_ms) {
        asio::post(context_, [this, target_id, started_at_ms] {
            on_departure_notice(target_id, started_at_ms);
        });
    });
    watch_crashes();
    if (!settings_.is_first_start) {
        target_.require_confirmation();
    }
    control_server_ = listener(settings.control, &control_worker::serve_target);
    readiness_server_ = listener(settings.ready, &control_worker::serve_readiness);
    metrics_server_ = listener(settings.metrics, &control_worker::serve_metrics);
}

control_worker::~control_worker() = default;

topic_follower::events control_worker::make_events(topic which) {
    const std::string name = which == topic::configuration ? "configuration" : "hosts";
    topic_follower::events events;
    events.on_record = [this, which](const store_record& record) {
        which == topic::configuration ? on_configuration(record) : on_host(record);
    };
    events.on_caught_up = [this, which] {
        if (which == topic::hosts) {
            has_read_hosts_ = true;
            read_position_ = std::max(read_position_, hosts_follower_.position());
            restore_local_record();
            check_local_record_is_stored();
        }
        publish_view();
    };
    events.on_confirmed = [this, which](time_point as_of) {
        if (which == topic::configuration) {
            on_confirmed(as_of);
        }
    };
    events.on_store_lost = [this, name](const std::string& reason) {
        log_line(severity::warning, "store lost", {{"topic", name}, {"reason", reason}});
        update_shared_state();
    };
    events.on_store_regained = [this, name] {
        log_line(severity::info, "store regained", {{"topic", name}});
        configuration_follower_.retry_now();
        hosts_follower_.retry_now();
        update_shared_state();
    };
    events.on_store_restored = [this, name](std::int64_t era) {
        log_line(severity::warning, "store restored from a copy", {{"topic", name}, {"era", era}});
        configuration_follower_.on_era(era);
        hosts_follower_.on_era(era);
    };
    return events;
}

void control_worker::start() {
    control_server_->start();
    readiness_server_->start();
    metrics_server_->start();
    net::spawn(context_, configuration_follower_.run());
    net::spawn(context_, hosts_follower_.run());
    net::spawn(context_, publish_loop());
    net::spawn(context_, confirm_loop());
    net::spawn(context_, peer_loop());
    net::spawn(context_, freshness_loop());
    net::spawn(context_, usage_loop());
}

void control_worker::begin_shutdown() {
    stopping_ = true;
    publish_wakeup_.cancel();
}

void control_worker::on_configuration(const store_record& record) {
    if (record.key == codec_.configuration_key() && !record.value.empty()) {
        apply_configuration(record.value, {});
    }
}

void control_worker::apply_configuration(const std::string& text, std::string_view peer) {
    const std::string_view source = peer.empty() ? "store" : "node";
    const auto parsed = codec_.parse_configuration(text);
    if (const auto* const error = std::get_if<configuration_error>(&parsed)) {
        log_line(severity::error, "configuration rejected",
                 {{"source", source}, {"peer", peer}, {"reason", error->reason}});
        return;
    }
    const auto& table = std::get<mesh::routing_table_ptr>(parsed);
    if (table_ && table->version() <= table_->version()) {
        return;
    }
    const auto previous = table_ ? table_->version() : 0;
    table_ = table;
    configuration_text_ = text;
    log_line(severity::info, "configuration in force",
             {{"version", table->version()},
              {"previous", previous},
              {"routes", table->size()},
              {"source", source},
              {"peer", peer},
              {"reads_store", configuration_follower_.is_reading()},
              {"store_answer_age_ms", in_ms(store_answer_age())}});
    confirm_wakeup_.cancel();
    publish_view();
}

duration control_worker::store_answer_age() const {
    return runtime_clock::now() - std::max(started_at_, configuration_follower_.last_answer_at());
}

void control_worker::on_host(const store_record& record) {
    if (record.value.empty()) {
        return;
    }
    const auto decoded = mesh::decode_host_record(record.value);
    if (!decoded || decoded->id != record.key) {
        log_line(severity::error, "host record rejected",
                 {{"key", record.key},
                  {"reason", !decoded ? "malformed record" : "id differs from key"}});
        return;
    }
    apply_host_record(*decoded, record.position);
}

void control_worker::apply_host_record(const mesh::host_record& record,
                                       mesh::record_position position) {
    const auto* const known = directory_.find(record.id);
    if (record.id == settings_.id && (known == nullptr || known->position < position)) {
        if (target_.on_recorded_departure(record) != mesh::lifecycle_change::none) {
            log_line(severity::info, "departure found in the own record",
                     {{"target", record.target_id}, {"state", to_string(target_.state())}});
            apply_target();
        }
        published_record_ = record;
        publish_wakeup_.cancel(); // a write of unknown outcome may have overwritten a newer record,
                                  // or the store has been restored from a copy without it
    }
    if (!directory_.apply(record, position)) {
        return;
    }
    restore_suspicions(record);
    update_listed_hosts();
}

void control_worker::update_listed_hosts() {
    std::vector<mesh::host_record> listed;
    for (const auto& [id, placed] : directory_.hosts()) {
        listed.push_back(placed.record);
    }
    listed_hosts_ = std::make_shared<const std::vector<mesh::host_record>>(std::move(listed));
}

void control_worker::check_local_record_is_stored() {
    const auto* const known = directory_.find(settings_.id);
    if (published_record_ && known != nullptr && known->position.era < read_position_.era) {
        published_record_.reset(); // the copy from which the store was restored lacks it
        publish_wakeup_.cancel();
    }
}

void control_worker::restore_local_record() {
    if (std::exchange(restored_, true)) {
        return;
    }
    if (published_record_) {
        target_.restore(*published_record_);
        log_line(severity::info, "own record restored",
                 {{"target", published_record_->target_id},
                  {"state", to_string(published_record_->state)}});
    }
    apply_target();
}

void control_worker::publish_view() {
    auto next = std::make_unique<relay::view>();
    next->generation = ++generation_;
    next->table = table_;
    next->hosts = listed_hosts_;
    views_.replace(std::move(next));
    readers_.set_hosts(*listed_hosts_);
    update_followers();
    update_shared_state();
}

mesh::host_record control_worker::local_record() const {
    mesh::host_record record;
    record.id = settings_.id;
    record.data_centre = settings_.data_centre;
    record.call_address = settings_.advertised_calls;
    record.node_stopping = stopping_;
    record.quarantined = recorded_suspicions_;
    record.state = target_.state();
    if (const auto* const current_target = target_.current()) {
        record.service = current_target->service;
        record.target_id = current_target->id;
        record.target_started_at_ms = current_target->started_at_ms;
        record.slots = current_target->slots;
    }
    return record;
}

void control_worker::apply_target() {
    const auto* const current_target = target_.current();
    if (!restored_ || current_target == nullptr) {
        return;
    }
    if (target_.unconfirmed() != nullptr) {
        confirm_wakeup_.cancel();
        return;
    }
    if (current_target->service.empty()) { // signed off before it was announced
        data_.set_target(std::nullopt);
        publish_wakeup_.cancel();
        return;
    }
    relay::target_settings settings;
    settings.id = current_target->id;
    settings.service = current_target->service;
    settings.started_at_ms = current_target->started_at_ms;
    settings.where = endpoint_of(current_target->address);
    settings.slots = current_target->slots;
    settings.cold_start_left = current_target->cold_left;
    settings.is_accepting = target_.is_accepting_work();
    const auto* const rules = table_ ? table_->find_service(current_target->service) : nullptr;
    settings.max_connections = rules == nullptr ? current_target->slots : rules->max_connections;
    data_.set_target(settings);
    publish_wakeup_.cancel();
}

control_worker::reply control_worker::serve_target(net::request message) {
    auto decoded = codec_.parse_target_message(message);
    if (auto* const received = std::get_if<mesh::announcement>(&decoded)) {
        co_return co_await on_announcement(std::move(*received));
    }
    if (auto* const received = std::get_if<sign_off>(&decoded)) {
        co_return co_await on_sign_off(std::move(*received));
    }
    const auto& rejected = std::get<rejected_message>(decoded);
    log_line(severity::warning, "target message rejected",
             {{"path", message.path}, {"reason", rejected.reason}});
    co_return make_text_response(rejected.status, rejected.reason);
}

control_worker::reply control_worker::on_announcement(mesh::announcement received) {
    const auto change = target_.on_announcement(received);
    if (change != mesh::lifecycle_change::none) {
        log_line(severity::info, "target announced",
                 {{"target", received.id},
                  {"born_ms", received.started_at_ms},
                  {"sequence", received.sequence},
                  {"slots", received.slots},
                  {"leaving", received.leaving},
                  {"outdated", change == mesh::lifecycle_change::outdated},
                  {"state", to_string(target_.state())}});
    }
    if (change == mesh::lifecycle_change::outdated && received.leaving) {
        co_return refuse_departure(received.id, received.started_at_ms);
    }
    if (change == mesh::lifecycle_change::none || change == mesh::lifecycle_change::outdated) {
        co_return codec_.acknowledge();
    }
    apply_target();
    co_return co_await acknowledge_when_stored(change);
}

control_worker::reply control_worker::on_sign_off(sign_off received) {
    const auto change = target_.on_sign_off(received.id, received.born_ms);
    log_line(severity::info, "target signed off",
             {{"target", received.id},
              {"born_ms", received.born_ms.value_or(0)},
              {"outdated", change == mesh::lifecycle_change::outdated},
              {"state", to_string(target_.state())}});
    if (change == mesh::lifecycle_change::outdated) {
        co_return refuse_departure(received.id, received.born_ms.value_or(0));
    }
    apply_target();
    co_return co_await acknowledge_when_stored(change);
}

net::response control_worker::refuse_departure(const std::string& target_id,
                                               std::int64_t started_at_ms) const {
    const auto* const current = target_.current();
    log_line(severity::warning, "leave not acknowledged",
             {{"target", target_id},
              {"born_ms", started_at_ms},
              {"current", current != nullptr ? current->id : ""},
              {"current_born_ms", current != nullptr ? current->started_at_ms : 0}});
    return make_text_response(status_unavailable, "not the current start of the target");
}

void control_worker::on_departure_notice(const std::string& target_id, std::int64_t started_at_ms) {
    const auto change = target_.on_departure_notice(target_id, started_at_ms);
    log_line(
        severity::info, "target said in an answer that it leaves",
        {{"target", target_id}, {"born_ms", started_at_ms}, {"state", to_string(target_.state())}});
    if (change != mesh::lifecycle_change::none) {
        apply_target();
    }
}

control_worker::reply control_worker::acknowledge_when_stored(mesh::lifecycle_change change) {
    const bool is_departure =
        change == mesh::lifecycle_change::leaving || change == mesh::lifecycle_change::gone;
    const auto deadline = runtime_clock::now() + acknowledge_timeout;
    while (is_departure && published_record_ != local_record() && runtime_clock::now() < deadline) {
        stored_wakeup_.expires_at(deadline);
        boost::system::error_code ignored;
        co_await stored_wakeup_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    if (is_departure && published_record_ != local_record()) {
        log_line(
            severity::warning, "leave acknowledged without the store",
            {{"waited_ms", std::chrono::duration_cast<milliseconds>(acknowledge_timeout).count()}});
    }
    co_return codec_.acknowledge();
}

asio::awaitable<void> control_worker::publish_loop() {
    auto backoff = min_publish_backoff;
    while (true) {
        const auto current = local_record();
        const bool has_unpublished_change =
            restored_ && current.state != mesh::target_state::none && published_record_ != current;
        if (!has_unpublished_change) {
            publish_wakeup_.expires_at(time_point::max());
            boost::system::error_code ignored;
            co_await publish_wakeup_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
            continue;
        }
        const store_record record{settings_.id, encode(current), {}};
        const auto result = co_await store_.append(topic::hosts, record);
        if (const auto* const done = std::get_if<record_appended>(&result)) {
            backoff = min_publish_backoff;
            hosts_follower_.on_era(done->position.era);
            if (directory_.put(current, done->position)) {
                published_record_ = current;
                update_listed_hosts();
            }
            stored_wakeup_.cancel();
            publish_view();
            continue;
        }
        co_await net::sleep_for(context_.get_executor(), backoff);
        backoff = std::min(backoff * 2, max_publish_backoff);
    }
}

control_worker::reply control_worker::serve_readiness(net::request message) {
    if (message.path != codec_.readiness_path()) {
        co_return make_text_response(status_not_found, "not found");
    }
    const auto now = runtime_clock::now();
    const bool is_data_running = now - data_.last_tick_at() < data_stall_timeout;
    const bool has_hosts = has_read_hosts_ || !directory_.hosts().empty();
    const bool is_ready = table_ && has_hosts && is_data_running && !stopping_;
    co_return make_text_response(is_ready ? status_ok : status_unavailable,
                                 is_ready ? "ready" : "not ready");
}

control_worker::reply control_worker::serve_metrics(net::request /*message*/) {
    const auto done = std::make_shared<net::signal>(context_.get_executor());
    const auto text = std::make_shared<std::string>();
    data_.inspect(
        [this, done, text](const relay::data_status& status, const metrics::recorder& counters) {
            write_metric_lines(counters.to_json(), "", *text);
            *text += "requests_in_flight " + std::to_string(status.requests) + "\nat_target " +
                     std::to_string(status.at_target) + "\ntarget_connections_opened " +
                     std::to_string(status.target_connections) + '\n';
            asio::post(context_, [done] { done->set(); });
        });
    co_await done->wait(runtime_clock::now() + metrics_timeout);
    *text += "hosts_known " + std::to_string(directory_.hosts().size()) + "\nstore_calls " +
             std::to_string(store_.calls()) + "\nconfiguration_version " +
             std::to_string(table_ ? table_->version() : 0) + "\nconfiguration_age_ms " +
             std::to_string(in_ms(configuration_knowledge_.age(runtime_clock::now()))) +
             "\nstore_answer_age_ms " + std::to_string(in_ms(store_answer_age())) + '\n';
    co_return make_text_response(status_ok, *text);
}

} // namespace lavenderhoist::agent
