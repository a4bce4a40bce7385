#include "lavenderhoist/cluster/log_follower.hpp"

#include <algorithm>
#include <utility>

namespace lavenderhoist::node {

namespace asio = boost::asio;

namespace {

constexpr std::size_t max_history = 512;
constexpr duration read_timeout = std::chrono::milliseconds(800);

} // namespace

log_follower::log_follower(asio::any_io_executor executor, log_client& log,
                           records::record_store& store)
    : executor_(std::move(executor)), log_(log), store_(store) {}

asio::awaitable<bool> log_follower::read_to_tail(duration timeout) {
    if (!next_round_) {
        next_round_ = std::make_shared<round>();
    }
    const auto requested_round = next_round_;
    if (is_reading_) {
        // The round in flight began before this call, so the next round serves it.
        const auto signal = std::make_shared<net::signal>(executor_);
        requested_round->waiters.push_back(signal);
        const bool was_served = co_await signal->wait(runtime_clock::now() + timeout);
        if (was_served) {
            co_return requested_round->succeeded;
        }
        co_return false;
    }
    is_reading_ = true;
    bool succeeded = false;
    while (next_round_) {
        const auto current = std::exchange(next_round_, nullptr);
        current->succeeded = co_await run_round();
        if (current == requested_round) {
            succeeded = current->succeeded;
        }
        for (const auto& waiter : current->waiters) {
            waiter->set();
        }
    }
    is_reading_ = false;
    co_return succeeded;
}

asio::awaitable<bool> log_follower::run_round() {
    while (true) {
        const auto from = next_offset_;
        const auto batch = co_await log_.read(from, read_timeout);
        is_available_ = batch.has_value();
        if (!batch) {
            co_return false;
        }
        retention_ = batch->retention;
        if (batch->first > from) {
            store_.on_gap();
        }
        apply(*batch);
        if (next_offset_ >= batch->tail || batch->items.empty()) {
            next_offset_ = std::max(next_offset_, batch->tail);
            store_.on_caught_up();
            co_return true;
        }
    }
}

void log_follower::apply(const log_batch& batch) {
    for (const auto& item : batch.items) {
        if (item.offset < next_offset_) {
            continue;
        }
        apply_item(item);
        next_offset_ = item.offset + 1;
    }
}

void log_follower::apply_item(const log_batch::item& item) {
    auto decoded = records::decode(item.payload);
    if (!decoded) {
        return;
    }
    const auto written_at = runtime_clock::now() - item.age;
    if (decoded->topic.type == records::record_type::contact) {
        contacts_[decoded->topic.subject] = {item.offset, decoded->body};
        contacts_written_at_[decoded->topic.subject] = written_at;
        return;
    }
    const records::located_record located{item.offset, std::move(*decoded)};
    const auto judged = store_.apply(located);
    history_.push_back({located, judged});
    written_at_[item.offset] = written_at;
    if (history_.size() > max_history) {
        history_.pop_front();
    }
    if (written_at_.size() > max_history) {
        written_at_.erase(written_at_.begin());
    }
    if (judged == records::verdict::accepted && on_change_) {
        on_change_(located);
    }
}

std::vector<std::string> log_follower::contacts() const {
    std::vector<std::pair<std::int64_t, std::string>> ordered;
    for (const auto& [id, contact] : contacts_) {
        ordered.push_back(contact);
    }
    std::ranges::sort(ordered, std::greater<>());
    std::vector<std::string> result;
    for (auto& [offset, address] : ordered) {
        result.push_back(std::move(address));
    }
    return result;
}

std::vector<history_entry> log_follower::history(records::record_type what) const {
    std::vector<history_entry> result;
    for (const auto& entry : history_) {
        if (entry.record.content.topic.type == what) {
            result.push_back(entry);
        }
    }
    return result;
}

std::optional<time_point> log_follower::written_at(std::int64_t offset) const {
    const auto found = written_at_.find(offset);
    if (found == written_at_.end()) {
        return std::nullopt;
    }
    return found->second;
}

} // namespace lavenderhoist::node
