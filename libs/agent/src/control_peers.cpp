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

/** How long a restarted node waits for its last published record, from the store or a peer, before
 * it starts without it. */
constexpr duration restore_timeout = std::chrono::milliseconds(1'200);

/** Between two fetches of shared state from peers while the store is unreachable. */
constexpr duration peer_interval = std::chrono::milliseconds(250);

/** For one exchange with a peer. */
constexpr duration peer_timeout = std::chrono::milliseconds(400);

/** Between two comparisons of versions with a peer. A long poll whose response is lost ends only at
 * its timeout; a peer's newer version shows earlier that a record was missed. */
constexpr duration comparison_interval = std::chrono::milliseconds(400);

/** Max. time between the store's responses to the long polls of different nodes for one record. */
constexpr duration max_answer_skew = std::chrono::milliseconds(300);

} // namespace

void control_worker::update_shared_state() {
    shared_state state;
    state.configuration = configuration_text_;
    for (const auto& [id, placed] : directory_.hosts()) {
        state.hosts.push_back(placed);
    }
    const shared_versions versions{table_ ? table_->version() : 0, max_host_position()};
    data_.set_shared_state({std::make_shared<const std::string>(encode(state)), encode(versions)});
}

void control_worker::apply_shared_state(const std::string& text) {
    const auto state = decode_shared_state(text);
    if (!state) {
        return;
    }
    for (const auto& entry : state->hosts) {
        apply_host_record(entry.record, entry.position);
    }
    if (published_record_) {
        restore_local_record();
    }
    if (!state->configuration.empty() && state->configuration != configuration_text_) {
        apply_configuration(state->configuration, "node");
    }
    publish_view();
}

std::vector<net::tcp::endpoint> control_worker::peer_endpoints() const {
    std::vector<net::tcp::endpoint> endpoints;
    for (const auto& [id, placed] : directory_.hosts()) {
        if (id != settings_.id && placed.record.call_address.port != 0) {
            endpoints.push_back(endpoint_of(placed.record.call_address));
        }
    }
    if (!endpoints.empty()) {
        return endpoints;
    }
    for (const auto& contact : settings_.contacts) {
        // Listeners have the same ports on all hosts of a deployment.
        if (contact.host != settings_.calls.host) {
            endpoints.push_back(net::make_endpoint(contact.host, settings_.advertised_calls.port));
        }
    }
    return endpoints;
}

asio::awaitable<void> control_worker::peer_loop() {
    while (true) {
        co_await net::sleep_for(context_.get_executor(), peer_interval);
        if (!restored_ && runtime_clock::now() - started_at_ > restore_timeout) {
            log_line(
                severity::warning, "own record not restored",
                {{"reason", "no response of the store or another node"},
                 {"waited_ms", std::chrono::duration_cast<milliseconds>(restore_timeout).count()}});
            restore_local_record();
        }
        const auto peers = peer_endpoints();
        if (peers.empty()) {
            continue;
        }
        const auto& peer = peers[random_() % peers.size()];
        if (configuration_follower_.is_store_lost() || hosts_follower_.is_store_lost() || !table_) {
            co_await fetch_shared_state(peer);
        } else if (runtime_clock::now() - last_comparison_at_ > comparison_interval) {
            last_comparison_at_ = runtime_clock::now();
            co_await compare_versions(peer);
        }
    }
}

mesh::record_position control_worker::max_host_position() const {
    mesh::record_position max_position;
    for (const auto& [id, placed] : directory_.hosts()) {
        max_position = std::max(max_position, placed.position);
    }
    return max_position;
}

asio::awaitable<void> control_worker::compare_versions(net::tcp::endpoint peer) {
    net::request request;
    request.method = "GET";
    request.path = relay::data_worker::versions_path;
    const auto answer = co_await peers_.exchange(peer, request, runtime_clock::now() + peer_timeout,
                                                 peer_timeout, nullptr);
    const auto peer_versions = answer.code ? std::nullopt : decode_versions(answer.answer.body);
    if (!peer_versions) {
        co_return; // the peer is down or starting; the next comparison picks a peer anew
    }
    const auto now = runtime_clock::now();
    const auto local_position = max_host_position();
    const auto& peer_position = peer_versions->max_host_position;
    const bool has_stale_configuration = configuration_lag_.on_comparison(
        table_->version(), peer_versions->configuration, max_answer_skew, now);
    const bool has_stale_hosts = hosts_lag_.on_comparison(
        local_position, peer_position, hosts_follower_.batch_delay() + max_answer_skew, now);
    if (has_stale_configuration || has_stale_hosts) {
        log_line(severity::warning, "behind another node",
                 {{"configuration", table_->version()},
                  {"their_configuration", peer_versions->configuration},
                  {"era", local_position.era},
                  {"their_era", peer_position.era},
                  {"newest_host", local_position.offset},
                  {"their_newest_host", peer_position.offset}});
        co_await fetch_shared_state(peer);
    }
}

asio::awaitable<void> control_worker::fetch_shared_state(net::tcp::endpoint peer) {
    const net::request request{"GET", std::string(relay::data_worker::state_path), {}, {}};
    const auto answer = co_await peers_.exchange(peer, request, runtime_clock::now() + peer_timeout,
                                                 peer_timeout, nullptr);
    if (!answer.code) {
        apply_shared_state(answer.answer.body);
    }
}

} // namespace lavenderhoist::agent
