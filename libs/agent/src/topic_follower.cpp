#include "lavenderhoist/agent/topic_follower.hpp"

#include "lavenderhoist/net/sleep.hpp"

#include <algorithm>
#include <utility>

namespace lavenderhoist::agent {

namespace asio = boost::asio;

namespace {

constexpr duration first_pause = std::chrono::milliseconds(50);
constexpr duration longest_pause = std::chrono::milliseconds(800);

} // namespace

topic_follower::topic_follower(asio::any_io_executor executor, store_client& store, topic which,
                               duration batch_delay, events handlers)
    : executor_(std::move(executor)),
      store_(store),
      which_(which),
      batch_delay_(batch_delay),
      handlers_(std::move(handlers)),
      random_(std::random_device()()) {}

asio::awaitable<void> topic_follower::run() {
    while (true) {
        if (listed_) {
            co_await follow();
        } else {
            co_await list();
        }
    }
}

asio::awaitable<void> topic_follower::list() {
    const auto result = co_await store_.list_newest(which_);
    const auto* const batch = std::get_if<record_batch>(&result);
    if (batch == nullptr) {
        store_failure failed{"unexpected answer"};
        if (const auto* const told = std::get_if<store_failure>(&result)) {
            failed = *told;
        }
        co_await after_failure(failed);
        co_return;
    }
    note_answer();
    next_offset_ = batch->next_offset;
    listed_ = true;
    for (const auto& record : batch->records) {
        handlers_.on_record(record);
    }
    handlers_.on_caught_up();
}

asio::awaitable<void> topic_follower::follow() {
    const auto result = co_await store_.read(which_, next_offset_);
    if (std::holds_alternative<records_expired>(result)) {
        note_answer();
        listed_ = false;
        co_return;
    }
    const auto* const batch = std::get_if<record_batch>(&result);
    if (batch == nullptr) {
        co_await after_failure(std::get<store_failure>(result));
        co_return;
    }
    note_answer();
    next_offset_ = batch->next_offset;
    for (const auto& record : batch->records) {
        handlers_.on_record(record);
    }
    if (!batch->records.empty()) {
        handlers_.on_caught_up();
        co_await net::sleep_for(executor_, batch_delay_);
    }
}

void topic_follower::note_answer() {
    failures_ = 0;
    if (std::exchange(lost_, false)) {
        handlers_.on_store_regained();
    }
}

asio::awaitable<void> topic_follower::after_failure(const store_failure& failed) {
    if (!std::exchange(lost_, true)) {
        handlers_.on_store_lost(failed.reason);
    }
    // While the store was away records may have come and expired.
    constexpr int most_doublings = 4;
    const auto pause =
        std::min(longest_pause, first_pause * (1 << std::min(failures_, most_doublings)));
    ++failures_;
    std::uniform_real_distribution<double> spread(0.5, 1.0);
    co_await net::sleep_for(executor_,
                            std::chrono::duration_cast<duration>(pause * spread(random_)));
}

} // namespace lavenderhoist::agent
