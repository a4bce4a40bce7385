#include "lavenderhoist/cluster/record_relay.hpp"

#include "lavenderhoist/core/hash.hpp"
#include "lavenderhoist/net/sleep.hpp"
#include "lavenderhoist/net/spawn.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <utility>

namespace lavenderhoist::node {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::size_t readers_per_data_centre = 2;
constexpr duration poll_interval = std::chrono::milliseconds(250);
constexpr duration read_timeout = std::chrono::seconds(2);
constexpr duration peer_timeout = std::chrono::seconds(1);
constexpr std::size_t push_fanout = 4;

json::object encode_located(const records::located_record& one) {
    return {{"offset", one.offset}, {"record", records::encode(one.content)}};
}

std::optional<records::located_record> decode_located(const json::value& value) {
    const auto& payload = value.at("record").as_string();
    auto content = records::decode({payload.data(), payload.size()});
    if (!content) {
        return std::nullopt;
    }
    return records::located_record{value.at("offset").to_number<std::int64_t>(),
                                   std::move(*content)};
}

std::string encode_all(const std::vector<records::located_record>& all) {
    json::array list;
    for (const auto& one : all) {
        list.emplace_back(encode_located(one));
    }
    return json::serialize(json::object{{"records", std::move(list)}});
}

std::optional<std::vector<records::located_record>> decode_all(std::string_view body) {
    json::error_code failed;
    const auto parsed = json::parse(body, failed);
    if (failed || !parsed.is_object()) {
        return std::nullopt;
    }
    try {
        std::vector<records::located_record> result;
        for (const auto& one : parsed.at("records").as_array()) {
            if (auto located = decode_located(one)) {
                result.push_back(std::move(*located));
            }
        }
        return result;
    } catch (const std::exception&) {
        return std::nullopt; // a member is missing or has the wrong type
    }
}

} // namespace

record_relay::record_relay(asio::any_io_executor executor, peer_client& peers,
                           gossip_service& gossip, log_follower& follower,
                           records::record_store& store)
    : executor_(std::move(executor)),
      peers_(peers),
      gossip_(gossip),
      follower_(follower),
      store_(store) {}

void record_relay::on_change(change_handler handler) {
    on_change_ = std::move(handler);
    follower_.on_change([this](const records::located_record& fresh) {
        on_change_(fresh);
        push_to_random_members(fresh);
    });
}

bool record_relay::is_reader() {
    const auto& self = gossip_.members().self();
    const auto local_hash = stable_hash(self.id);
    std::size_t readers_before = 0;
    for (const auto& other : gossip_.members().all()) {
        const bool is_peer = other.id != self.id && other.data_centre == self.data_centre &&
                             other.state == membership::liveness::alive;
        if (is_peer && stable_hash(other.id) < local_hash) {
            ++readers_before;
        }
    }
    return readers_before < readers_per_data_centre;
}

std::string record_relay::other_reader() {
    const auto& self = gossip_.members().self();
    std::string address;
    std::uint64_t min_hash = 0;
    for (const auto& other : gossip_.members().all()) {
        const bool is_peer = other.id != self.id && other.data_centre == self.data_centre &&
                             other.state == membership::liveness::alive;
        const auto hash = stable_hash(other.id);
        if (is_peer && (address.empty() || hash < min_hash)) {
            address = other.control_address;
            min_hash = hash;
        }
    }
    return address;
}

asio::awaitable<void> record_relay::run() {
    while (true) {
        if (is_reader()) {
            co_await follower_.read_to_tail(read_timeout);
        }
        co_await net::sleep_for(executor_, poll_interval);
    }
}

void record_relay::adopt(const records::located_record& received) {
    if (store_.adopt(received) != records::verdict::accepted) {
        return;
    }
    on_change_(received);
    push_to_random_members(received);
}

void record_relay::push_to_random_members(const records::located_record& fresh) {
    const auto body = encode_all({fresh});
    for (const auto& target : gossip_.members().random_members(push_fanout, {})) {
        net::spawn(executor_, push(target.control_address, body));
    }
}

asio::awaitable<void> record_relay::push(std::string address, std::string body) {
    co_await peers_.send_request(std::move(address), "/records", std::move(body), peer_timeout);
}

bool record_relay::accept_push(std::string_view body) {
    const auto received = decode_all(body);
    if (!received) {
        return false;
    }
    for (const auto& one : *received) {
        adopt(one);
    }
    return true;
}

asio::awaitable<void> record_relay::reconcile(std::string address) {
    if (!reconciling_.insert(address).second) {
        co_return;
    }
    json::array versions;
    for (const auto& one : store_.all()) {
        const auto& about = one.content.topic;
        versions.emplace_back(
            json::array{static_cast<int>(about.type), about.subject, one.content.version});
    }
    auto body = json::serialize(json::object{{"versions", std::move(versions)}});
    const auto answered =
        co_await peers_.send_request(address, "/records/pull", std::move(body), peer_timeout);
    reconciling_.erase(address);
    if (!answered) {
        co_return;
    }
    accept_push(*answered);
    json::error_code failed;
    const auto parsed = json::parse(*answered, failed);
    if (failed || !parsed.is_object() || !parsed.as_object().contains("lacks")) {
        co_return;
    }
    std::vector<records::located_record> missing_at_peer;
    for (const auto& topic : parsed.at("lacks").as_array()) {
        const auto& subject = topic.at(1).as_string();
        const records::record_topic about{
            static_cast<records::record_type>(topic.at(0).to_number<int>()),
            {subject.data(), subject.size()}};
        const auto* const local = store_.current(about);
        if (local != nullptr) {
            missing_at_peer.push_back(*local);
        }
    }
    if (!missing_at_peer.empty()) {
        co_await push(address, encode_all(missing_at_peer));
    }
}

std::string record_relay::answer_pull(std::string_view body) {
    json::error_code failed;
    const auto parsed = json::parse(body, failed);
    if (failed || !parsed.is_object()) {
        return {};
    }
    try {
        std::map<records::record_topic, std::int64_t> peer_versions;
        for (const auto& entry : parsed.at("versions").as_array()) {
            const auto& subject = entry.at(1).as_string();
            const records::record_topic about{
                static_cast<records::record_type>(entry.at(0).to_number<int>()),
                {subject.data(), subject.size()}};
            peer_versions[about] = entry.at(2).to_number<std::int64_t>();
        }
        json::array newer;
        for (const auto& one : store_.all()) {
            const auto known = peer_versions.find(one.content.topic);
            if (known == peer_versions.end() || known->second < one.content.version) {
                newer.emplace_back(encode_located(one));
            }
        }
        json::array lacks;
        for (const auto& [about, version] : peer_versions) {
            const auto* const local = store_.current(about);
            if (local == nullptr || local->content.version < version) {
                lacks.emplace_back(json::array{static_cast<int>(about.type), about.subject});
            }
        }
        return json::serialize(
            json::object{{"records", std::move(newer)}, {"lacks", std::move(lacks)}});
    } catch (const std::exception&) {
        return {}; // a member is missing or has the wrong type
    }
}

} // namespace lavenderhoist::node
