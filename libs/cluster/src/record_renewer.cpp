#include "lavenderhoist/cluster/record_renewer.hpp"

#include "lavenderhoist/core/hash.hpp"
#include "lavenderhoist/net/sleep.hpp"

#include <algorithm>
#include <utility>

namespace lavenderhoist::node {

namespace asio = boost::asio;

namespace {

constexpr duration check_interval = std::chrono::seconds(1);
constexpr duration append_timeout = std::chrono::seconds(1);
constexpr std::size_t wanted_contacts = 3;

} // namespace

record_renewer::record_renewer(asio::any_io_executor executor, gossip_service& gossip,
                               log_client& log, log_follower& follower, record_relay& relay,
                               record_publisher& publisher, records::record_store& store)
    : executor_(std::move(executor)),
      gossip_(gossip),
      log_(log),
      follower_(follower),
      relay_(relay),
      publisher_(publisher),
      store_(store) {}

asio::awaitable<void> record_renewer::run() {
    while (true) {
        co_await net::sleep_for(executor_, check_interval);
        if (!relay_.is_reader() || !follower_.is_available()) {
            continue;
        }
        if (should_register()) {
            co_await register_contact();
        }
        if (!is_first_of_all()) {
            continue;
        }
        for (auto& about : ageing_topics()) {
            co_await renew(std::move(about));
        }
    }
}

bool record_renewer::is_first_of_all() {
    const auto own = stable_hash(gossip_.members().self().id);
    return std::ranges::none_of(gossip_.members().all(), [own](const membership::member& other) {
        return other.state == membership::liveness::alive && stable_hash(other.id) < own;
    });
}

std::vector<records::record_topic> record_renewer::ageing_topics() const {
    std::vector<records::record_topic> result;
    const auto now = runtime_clock::now();
    for (const auto& one : store_.all()) {
        const auto written = follower_.written_at(one.offset);
        if (written && now - *written > follower_.retention() / 2) {
            result.push_back(one.content.topic);
        }
    }
    return result;
}

asio::awaitable<void> record_renewer::renew(records::record_topic about) {
    const auto* const standing = store_.current(about);
    const auto renewed = standing->offset;
    co_await publisher_.publish(about, [this, &about, renewed](records::record next) {
        const auto* const now_standing = store_.current(about);
        std::optional<records::record> result;
        if (now_standing == nullptr || now_standing->offset != renewed) {
            return result; // somebody has published meanwhile
        }
        const auto& self = gossip_.members().self();
        next.id = self.id + "/renewal/" + std::to_string(next.version);
        next.author = self.id;
        next.written_ms = wall_time().count();
        next.body = now_standing->content.body;
        result = std::move(next);
        return result;
    });
}

bool record_renewer::should_register() const {
    const auto& self = gossip_.members().self();
    const auto now = runtime_clock::now();
    std::size_t usable = 0;
    for (const auto& [id, written] : follower_.contacts_written_at()) {
        const auto* const known = gossip_.members().find(id);
        const bool is_alive = known != nullptr && known->state == membership::liveness::alive;
        const bool is_fresh = now - written < follower_.retention() / 2;
        if (!is_alive || !is_fresh) {
            continue;
        }
        if (id == self.id) {
            return false;
        }
        ++usable;
    }
    return usable < wanted_contacts;
}

asio::awaitable<void> record_renewer::register_contact() {
    const auto& self = gossip_.members().self();
    records::record contact;
    contact.id = self.id + "/" + std::to_string(self.process);
    contact.topic = {records::record_type::contact, self.id};
    contact.author = self.id;
    contact.written_ms = wall_time().count();
    contact.body = self.control_address;
    co_await log_.append(records::encode(contact), append_timeout);
    co_await follower_.read_to_tail(append_timeout);
}

} // namespace lavenderhoist::node
