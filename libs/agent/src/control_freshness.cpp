#include "lavenderhoist/agent/control_worker.hpp"

#include "lavenderhoist/agent/internal/in_ms.hpp"
#include "lavenderhoist/logging/log.hpp"
#include "lavenderhoist/net/sleep.hpp"
#include "lavenderhoist/net/spawn.hpp"

#include <utility>

namespace lavenderhoist::agent {

namespace asio = boost::asio;
using internal::in_ms;
using logging::log_line;
using logging::severity;

std::function<std::string()> control_worker::versions_encoder() const {
    return [present = versions(), as_of = configuration_knowledge_.as_of()]() mutable {
        present.configuration_age = runtime_clock::now() - as_of;
        return encode(present);
    };
}

void control_worker::on_confirmed(time_point as_of) {
    configuration_knowledge_.on_confirmed(as_of);
    const bool is_stale = configuration_knowledge_.is_stale(runtime_clock::now());
    if (!is_stale && std::exchange(has_logged_stale_, false)) {
        log_line(severity::info, "configuration is known to be current",
                 {{"version", table_ ? table_->version() : 0}});
    }
    data_.set_versions(versions_encoder());
}

void control_worker::adopt_confirmation(const shared_versions& peer, time_point asked_at) {
    // A peer with an older version says nothing about what came after ours.
    const bool has_same_version = table_ && table_->version() == peer.configuration;
    if (!has_same_version || (!peer.configuration_age && !peer.reads_store)) {
        return;
    }
    on_confirmed(asked_at - peer.configuration_age.value_or(duration(0)));
}

asio::awaitable<void> control_worker::freshness_loop() {
    while (true) {
        const auto now = runtime_clock::now();
        const auto due = configuration_knowledge_.next_read_at();
        if (now < due) {
            co_await net::sleep_for(context_.get_executor(), due - now);
            continue;
        }
        configuration_knowledge_.on_read(now);
        read_stale_configuration();
    }
}

void control_worker::read_stale_configuration() {
    if (!std::exchange(has_logged_stale_, true)) {
        log_line(severity::warning, "configuration may be out of date",
                 {{"version", table_ ? table_->version() : 0},
                  {"age_ms", in_ms(configuration_knowledge_.age(runtime_clock::now()))},
                  {"reads_store", configuration_follower_.is_reading()},
                  {"store_answer_age_ms", in_ms(store_answer_age())}});
    }
    if (configuration_follower_.is_following()) {
        configuration_follower_.check_connection();
        hosts_follower_.check_connection();
        return;
    }
    net::spawn(context_, list_configuration());
}

asio::awaitable<void> control_worker::list_configuration() {
    store_.close_idle_connections();
    const auto asked_at = runtime_clock::now();
    const auto result = co_await store_.list_newest(topic::configuration);
    const auto* const batch = std::get_if<record_batch>(&result);
    if (batch == nullptr) {
        const auto* const failure = std::get_if<store_failure>(&result);
        log_line(severity::warning, "store not read",
                 {{"topic", "configuration"},
                  {"reason", failure != nullptr ? failure->reason : "records expired"}});
        co_return;
    }
    for (const auto& record : batch->records) {
        on_configuration(record);
    }
    on_confirmed(asked_at);
}

} // namespace lavenderhoist::agent
