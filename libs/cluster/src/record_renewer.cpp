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
constexpr std::size_t min_contacts = 3;

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
        if (!has_min_hash()) {
            continue;
        }
        for (auto& topic : topics_to_renew()) {
            co_await renew(std::move(topic));
        }
    }
}

bool record_renewer::has_min_hash() {
    const auto local_hash = stable_hash(gossip_.members().self().id);
    return std::ranges::none_of(
        gossip_.members().all(), [local_hash](const membership::member& other) {
            return other.state == membership::liveness::alive && stable_hash(other.id) < local_hash;
        });
}

std::vector<records::record_topic> record_renewer::topics_to_renew() const {
    std::vector<records::record_topic> result;
    const auto now = runtime_clock::now();
    for (const auto& one : store_.all()) {
        const auto written_at = follower_.written_at(one.offset);
        if (written_at && now - *written_at > follower_.retention() / 2) {
            result.push_back(one.content.topic);
        }
    }
    return result;
}

asio::awaitable<void> record_renewer::renew(records::record_topic topic) {
    const auto* const current = store_.current(topic);
    const auto renewed_offset = current->offset;
    co_await publisher_.publish(topic, [this, &topic, renewed_offset](records::record next) {
        const auto* const latest = store_.current(topic);
        std::optional<records::record> result;
        if (latest == nullptr || latest->offset != renewed_offset) {
            return result; // another record has been published in the meantime
        }
        const auto& self = gossip_.members().self();
        next.id = self.id + "/renewal/" + std::to_string(next.version);
        next.author = self.id;
        next.written_ms = wall_time().count();
        next.body = latest->content.body;
        result = std::move(next);
        return result;
    });
}

bool record_renewer::should_register() const {
    const auto& self = gossip_.members().self();
    const auto now = runtime_clock::now();
    std::size_t usable_contacts = 0;
    for (const auto& [id, written_at] : follower_.contacts_written_at()) {
        const auto* const known = gossip_.members().find(id);
        const bool is_alive = known != nullptr && known->state == membership::liveness::alive;
        const bool is_fresh = now - written_at < follower_.retention() / 2;
        if (!is_alive || !is_fresh) {
            continue;
        }
        if (id == self.id) {
            return false;
        }
        ++usable_contacts;
    }
    return usable_contacts < min_contacts;
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
