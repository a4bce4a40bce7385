#include "lavenderhoist/agent/control_worker.hpp"

#include "lavenderhoist/agent/internal/endpoint_of.hpp"
#include "lavenderhoist/agent/shared_state.hpp"
#include "lavenderhoist/logging/log.hpp"
#include "lavenderhoist/net/sleep.hpp"

#include <boost/json/object.hpp>

#include <utility>

namespace lavenderhoist::agent {

namespace asio = boost::asio;
using logging::log_line;
using logging::severity;

namespace {

/** How long a restarted node waits to learn what it published before. */
constexpr duration restore_timeout = std::chrono::milliseconds(1'200);

/** Between two questions to other nodes while the store is away. */
constexpr duration peer_interval = std::chrono::milliseconds(250);

constexpr duration peer_timeout = std::chrono::milliseconds(400);

/** Between two comparisons of versions with another node. A wait for records whose answer is lost
 * ends only after its whole length; other nodes show earlier that there was one. */
constexpr duration comparison_interval = std::chrono::milliseconds(400);

/** Answers of the store to the waits of all nodes arrive within this time of each other. */
constexpr duration answer_time = std::chrono::milliseconds(300);

} // namespace

void control_worker::share_state() {
    shared_state state;
    state.configuration = configuration_text_;
    for (const auto& [id, placed] : directory_.hosts()) {
        state.hosts.push_back(placed);
    }
    const shared_versions versions{table_ ? table_->version() : 0, newest_host_offset()};
    data_.set_shared_state({std::make_shared<const std::string>(encode(state)), encode(versions)});
}

void control_worker::take_shared_state(const std::string& text) {
    const auto state = decode_shared_state(text);
    if (!state) {
        return;
    }
    for (const auto& each : state->hosts) {
        take_host(each.record, each.offset);
    }
    if (published_) {
        restore_own_record();
    }
    if (!state->configuration.empty() && state->configuration != configuration_text_) {
        take_configuration(state->configuration, "node");
    }
    publish_view();
}

std::vector<net::tcp::endpoint> control_worker::peers_to_ask() const {
    std::vector<net::tcp::endpoint> found;
    for (const auto& [id, placed] : directory_.hosts()) {
        if (id != settings_.id && placed.record.call_address.port != 0) {
            found.push_back(endpoint_of(placed.record.call_address));
        }
    }
    if (!found.empty()) {
        return found;
    }
    for (const auto& contact : settings_.contacts) {
        // Listeners have the same ports on all hosts of a deployment.
        if (contact.host != settings_.calls.host) {
            found.push_back(net::make_endpoint(contact.host, settings_.advertised_calls.port));
        }
    }
    return found;
}

asio::awaitable<void> control_worker::peer_loop() {
    while (true) {
        co_await net::sleep_for(context_.get_executor(), peer_interval);
        if (!restored_ && runtime_clock::now() - started_ > restore_timeout) {
            log_line(severity::warning, "own record not restored",
                     {{"reason", "neither the store nor another node answered"}});
            restore_own_record();
        }
        const auto peers = peers_to_ask();
        if (peers.empty()) {
            continue;
        }
        const auto& peer = peers[random_() % peers.size()];
        if (configuration_.is_lost() || hosts_.is_lost() || !table_) {
            co_await ask_peer(peer);
        } else if (runtime_clock::now() - last_comparison_ > comparison_interval) {
            last_comparison_ = runtime_clock::now();
            co_await compare_with(peer);
        }
    }
}

std::int64_t control_worker::newest_host_offset() const {
    std::int64_t newest = -1;
    for (const auto& [id, placed] : directory_.hosts()) {
        newest = std::max(newest, placed.offset);
    }
    return newest;
}

asio::awaitable<void> control_worker::compare_with(net::tcp::endpoint peer) {
    net::request question;
    question.method = "GET";
    question.path = relay::data_worker::versions_path;
    const auto answer = co_await peers_.exchange(
        peer, question, runtime_clock::now() + peer_timeout, peer_timeout, nullptr);
    const auto theirs = answer.code ? std::nullopt : decode_versions(answer.answer.body);
    if (!theirs) {
        co_return; // it is down or starting; the next comparison is with another node
    }
    const auto now = runtime_clock::now();
    const auto newest_host = newest_host_offset();
    const bool lacks_configuration = configuration_lag_.has_missed_news(
        static_cast<std::int64_t>(table_->version()),
        static_cast<std::int64_t>(theirs->configuration), answer_time, now);
    const bool lacks_hosts = hosts_lag_.has_missed_news(newest_host, theirs->newest_host,
                                                        hosts_.gather() + answer_time, now);
    if (lacks_configuration || lacks_hosts) {
        log_line(severity::warning, "behind another node",
                 {{"configuration", table_->version()},
                  {"their_configuration", theirs->configuration},
                  {"newest_host", newest_host},
                  {"their_newest_host", theirs->newest_host}});
        co_await ask_peer(peer);
    }
}

asio::awaitable<void> control_worker::ask_peer(net::tcp::endpoint peer) {
    const net::request question{"GET", std::string(relay::data_worker::state_path), {}, {}};
    const auto answer = co_await peers_.exchange(
        peer, question, runtime_clock::now() + peer_timeout, peer_timeout, nullptr);
    if (!answer.code) {
        take_shared_state(answer.answer.body);
    }
}

} // namespace lavenderhoist::agent
