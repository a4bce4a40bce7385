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

bool record_publisher::is_outstanding(const records::record_topic& about) {
    const auto found = outstanding_.find(about);
    if (found == outstanding_.end()) {
        return false;
    }
    const auto* const standing = store_.current(about);
    const bool is_settled = standing != nullptr && standing->content.version >= found->second;
    if (is_settled) {
        outstanding_.erase(found);
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

publication_result record_publisher::judge(const records::record_topic& about,
                                           const std::string& id, std::int64_t version) {
    publication_result result;
    result.id = id;
    const auto* const standing = store_.current(about);
    if (standing != nullptr) {
        result.current = *standing;
    }
    if (standing == nullptr || standing->content.version < version) {
        result.status = publication::unknown;
    } else if (standing->content.id == id) {
        result.status = publication::current;
    } else {
        result.status = publication::conflict;
    }
    return result;
}

asio::awaitable<publication_result> record_publisher::publish(records::record_topic about,
                                                              author write) {
    publication_result result;
    const bool has_read = co_await follower_.read_to_tail(read_timeout);
    if (!has_read || is_outstanding(about)) {
        co_return result;
    }
    const auto record = write(store_.successor(about));
    if (!record) {
        result.status = publication::conflict;
        const auto* const standing = store_.current(about);
        if (standing != nullptr) {
            result.current = *standing;
        }
        co_return result;
    }
    // Until the log shows this version taken, nobody may be told that nothing newer can stand.
    outstanding_[about] = record->version;
    co_await append_until_confirmed(records::encode(*record));
    co_await follower_.read_to_tail(read_timeout);
    is_outstanding(about);
    co_return judge(about, record->id, record->version);
}

} // namespace lavenderhoist::node
