#include "lavenderhoist/cluster/record_publisher.hpp"

#include <utility>

namespace lavenderhoist::node {

namespace asio = boost::asio;

namespace {

constexpr int append_attempts = 3;
constexpr duration append_timeout = std::chrono::milliseconds(800);
constexpr duration read_timeout = std::chrono::seconds(2);

} // namespace

record_publisher::record_publisher(log_client& log, log_follower& follower,
                                   records::record_store& store)
    : log_(log), follower_(follower), store_(store) {}

bool record_publisher::is_outstanding(const records::record_topic& topic) {
    const auto found = outstanding_versions_.find(topic);
    if (found == outstanding_versions_.end()) {
        return false;
    }
    const auto* const current = store_.current(topic);
    const bool is_settled = current != nullptr && current->content.version >= found->second;
    if (is_settled) {
        outstanding_versions_.erase(found);
    }
    return !is_settled;
}

asio::awaitable<bool> record_publisher::append_until_confirmed(std::string payload) {
    for (int i = 0; i < append_attempts; ++i) {
        const auto appended = co_await log_.append(payload, append_timeout);
        if (appended.offset) {
            co_return true;
        }
    }
    co_return false;
}

publication_result record_publisher::determine_result(const records::record_topic& topic,
                                                      const std::string& id, std::int64_t version) {
    publication_result result;
    result.id = id;
    const auto* const current = store_.current(topic);
    if (current != nullptr) {
        result.current = *current;
    }
    if (current == nullptr || current->content.version < version) {
        result.status = publication::unknown;
    } else if (current->content.id == id) {
        result.status = publication::current;
    } else {
        result.status = publication::conflict;
    }
    return result;
}

asio::awaitable<publication_result> record_publisher::publish(records::record_topic topic,
                                                              author write) {
    publication_result result;
    const bool has_read = co_await follower_.read_to_tail(read_timeout);
    if (!has_read || is_outstanding(topic)) {
        co_return result;
    }
    const auto record = write(store_.successor(topic));
    if (!record) {
        result.status = publication::conflict;
        const auto* const current = store_.current(topic);
        if (current != nullptr) {
            result.current = *current;
        }
        co_return result;
    }
    // Until a record of this version has been read from the log, is_outstanding() keeps this node
    // from confirming to a peer that there is no newer record.
    outstanding_versions_[topic] = record->version;
    co_await append_until_confirmed(records::encode(*record));
    co_await follower_.read_to_tail(read_timeout);
    is_outstanding(topic);
    co_return determine_result(topic, record->id, record->version);
}

} // namespace lavenderhoist::node
