#include "lavenderhoist/agent/control_worker.hpp"

#include "lavenderhoist/agent/internal/endpoint_of.hpp"
#include "lavenderhoist/agent/internal/host_batch_delay.hpp"
#include "lavenderhoist/agent/internal/in_ms.hpp"
#include "lavenderhoist/agent/shared_state.hpp"
#include "lavenderhoist/logging/log.hpp"
#include "lavenderhoist/net/sleep.hpp"
#include "lavenderhoist/net/spawn.hpp"

#include <boost/json/object.hpp>

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

namespace lavenderhoist::agent {

namespace asio = boost::asio;
using internal::in_ms;
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

/** Backoff while the store is lost. The nodes that normally read it try often; those that take
 * their place seldom, since there are many. The other topic waits for the configuration topic,
 * which wakes it. */
constexpr topic_follower::backoff_bounds reader_backoff{std::chrono::milliseconds(50),
                                                        std::chrono::milliseconds(800)};
constexpr topic_follower::backoff_bounds substitute_backoff{std::chrono::milliseconds(800),
                                                            std::chrono::milliseconds(3'200)};

/** Wait of the configuration reads of a data centre's first reader. Its answers show the other
 * nodes that nothing has changed, so each one is a small part of the time in which a version must
 * be in force. */
constexpr duration first_reader_wait = std::chrono::milliseconds(600);

/** Wait of the host record reads of a data centre's first reader: bounds for how long a connection
 * that has fallen silent goes unnoticed where those of all readers have. */
constexpr duration first_reader_hosts_wait = std::chrono::seconds(5);

/** Max. time between the store's responses to the long polls of different nodes for one record. */
constexpr duration max_answer_skew = std::chrono::milliseconds(300);

} // namespace

shared_versions control_worker::versions() const {
    return {table_ ? table_->version() : 0, read_position_,
            configuration_follower_.is_reading() && hosts_follower_.is_reading()};
}

void control_worker::update_shared_state() {
    const auto state = std::make_shared<shared_state>();
    state->configuration_version = table_ ? table_->version() : 0;
    state->configuration = configuration_text_;
    state->position = read_position_;
    for (const auto& [id, placed] : directory_.hosts()) {
        state->hosts.push_back(placed);
    }
    data_.set_shared_state({[state](std::string_view known) {
                                return encode_newer(
                                    *state, decode_versions(known).value_or(shared_versions{}));
                            },
                            versions_encoder()});
}

void control_worker::apply_shared_state(const std::string& text, std::string_view peer) {
    const auto state = decode_shared_state(text);
    if (!state) {
        return;
    }
    for (const auto& entry : state->hosts) {
        apply_host_record(entry.record, entry.position);
    }
    read_position_ = std::max(read_position_, state->position);
    if (published_record_) {
        restore_local_record();
    }
    check_local_record_is_stored();
    if (!state->configuration.empty() && state->configuration != configuration_text_) {
        apply_configuration(state->configuration, peer);
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
        if (const auto reader = table_ ? readers_.next_node(runtime_clock::now()) : std::nullopt) {
            co_await compare_with_reader(*reader);
        }
        const auto now = runtime_clock::now();
        const bool is_due =
            is_store_lost() || !table_ || configuration_knowledge_.is_stale(now) ||
            !has_asked_for_suspicions() ||
            (readers_.is_reader() && now - last_comparison_at_ > comparison_interval);
        const auto peers = is_due ? peer_endpoints() : std::vector<net::tcp::endpoint>();
        if (peers.empty()) {
            continue;
        }
        last_comparison_at_ = now;
        const auto& peer = peers[random_() % peers.size()];
        net::spawn(context_, ask_for_suspicions(peer));
        if (table_) {
            co_await compare_with(peer);
        } else {
            co_await fetch_shared_state(peer);
        }
    }
}

bool control_worker::is_store_lost() const noexcept {
    return configuration_follower_.is_store_lost() || hosts_follower_.is_store_lost();
}

void control_worker::update_followers() {
    configuration_follower_.set_backoff(readers_.is_first_choice() ? reader_backoff
                                                                   : substitute_backoff);
    hosts_follower_.set_backoff(substitute_backoff);
    configuration_follower_.set_read_wait(
        readers_.is_first_reader() ? first_reader_wait : topic_follower::long_read_wait);
    // As long as a node knows no others, none relies on it.
    const bool is_relied_on = readers_.is_first_reader() && listed_hosts_->size() > 1;
    configuration_follower_.set_rechecks(is_relied_on);
    hosts_follower_.set_read_wait(readers_.is_first_reader() ? first_reader_hosts_wait
                                                             : topic_follower::long_read_wait);
    std::set<std::string_view> data_centres;
    for (const auto& host : *listed_hosts_) {
        data_centres.insert(host.data_centre);
    }
    const auto readers = data_centres.size() * store_readers::readers_per_data_centre;
    hosts_follower_.set_batch_delay(
        internal::host_batch_delay(std::min(listed_hosts_->size(), readers)));
    for (auto* const follower : {&configuration_follower_, &hosts_follower_}) {
        follower->set_active(readers_.is_reader());
    }
}

bool control_worker::is_older_than(const shared_versions& other) const {
    const auto local = versions();
    return local.configuration < other.configuration || local.position < other.position;
}

asio::awaitable<std::optional<shared_versions>>
control_worker::fetch_versions(net::tcp::endpoint peer) {
    const net::request request{"GET", std::string(relay::data_worker::versions_path), {}, {}};
    const auto answer = co_await peers_.exchange(peer, request, runtime_clock::now() + peer_timeout,
                                                 peer_timeout, nullptr);
    co_return answer.code ? std::nullopt : decode_versions(answer.answer.body);
}

bool control_worker::is_outdated_reader(const shared_versions& reader, time_point now) const {
    const auto age = reader.configuration_age.value_or(duration(0));
    // Where nobody hears of the store, others in the reader's place would not do so either.
    const bool is_known_to_be_reachable =
        configuration_knowledge_.age(now) < store_knowledge::max_reader_age;
    return age > store_knowledge::max_reader_age && is_known_to_be_reachable;
}

asio::awaitable<void> control_worker::compare_with_reader(std::string reader) {
    const auto* const known = directory_.find(reader);
    if (known == nullptr) {
        co_return;
    }
    const auto endpoint = endpoint_of(known->record.call_address);
    const auto asked_at = runtime_clock::now();
    const auto peer_versions = co_await fetch_versions(endpoint);
    const auto now = runtime_clock::now();
    const bool was_reader = readers_.is_reader();
    const bool was_first_reader = readers_.is_first_reader();
    if (peer_versions) {
        readers_.on_response(
            reader, peer_versions->reads_store && !is_outdated_reader(*peer_versions, now), now);
    } else {
        readers_.on_no_response(reader, now);
    }
    if (readers_.is_reader() != was_reader || readers_.is_first_reader() != was_first_reader) {
        log_line(severity::info, "store reader changed",
                 {{"reads_store", readers_.is_reader()},
                  {"first", readers_.is_first_reader()},
                  {"peer", reader},
                  {"peer_responded", peer_versions.has_value()},
                  {"peer_age_ms", peer_versions && peer_versions->configuration_age
                                      ? in_ms(*peer_versions->configuration_age)
                                      : -1}});
        update_followers();
        update_shared_state();
    }
    if (!peer_versions) {
        co_return;
    }
    if (is_older_than(*peer_versions)) {
        co_await fetch_shared_state(endpoint);
    }
    adopt_confirmation(*peer_versions, asked_at);
}

asio::awaitable<void> control_worker::compare_with(net::tcp::endpoint peer) {
    const auto asked_at = runtime_clock::now();
    const auto peer_versions = co_await fetch_versions(peer);
    if (!peer_versions) {
        co_return; // the peer is down or starting; the next comparison picks a peer anew
    }
    const auto now = runtime_clock::now();
    if (is_store_lost() || configuration_knowledge_.is_stale(now)) {
        if (is_older_than(*peer_versions)) {
            co_await fetch_shared_state(peer);
        }
        adopt_confirmation(*peer_versions, asked_at);
        co_return;
    }
    adopt_confirmation(*peer_versions, asked_at);
    const auto local = versions();
    const bool has_stale_configuration = configuration_lag_.on_comparison(
        local.configuration, peer_versions->configuration, max_answer_skew, now);
    const bool has_stale_hosts =
        hosts_lag_.on_comparison(local.position, peer_versions->position,
                                 hosts_follower_.batch_delay() + max_answer_skew, now);
    if (has_stale_configuration || has_stale_hosts) {
        log_line(severity::warning, "behind another node",
                 {{"configuration", local.configuration},
                  {"their_configuration", peer_versions->configuration},
                  {"era", local.position.era},
                  {"their_era", peer_versions->position.era},
                  {"newest_host", local.position.offset},
                  {"their_newest_host", peer_versions->position.offset}});
        (has_stale_configuration ? configuration_follower_ : hosts_follower_).check_connection();
        if (is_older_than(*peer_versions)) {
            co_await fetch_shared_state(peer);
        }
    }
}

asio::awaitable<void> control_worker::fetch_shared_state(net::tcp::endpoint peer) {
    net::request request{"GET", std::string(relay::data_worker::state_path), {}, {}};
    request.fields.push_back(
        {std::string(relay::data_worker::known_versions_field), encode(versions())});
    const auto answer = co_await peers_.exchange(peer, request, runtime_clock::now() + peer_timeout,
                                                 peer_timeout, nullptr);
    if (!answer.code) {
        apply_shared_state(answer.answer.body, peer.address().to_string());
    }
}

} // namespace lavenderhoist::agent
