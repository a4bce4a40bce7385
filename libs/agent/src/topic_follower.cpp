#include "lavenderhoist/agent/topic_follower.hpp"

#include "lavenderhoist/logging/log.hpp"
#include "lavenderhoist/net/sleep.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace lavenderhoist::agent {

namespace asio = boost::asio;

namespace {

constexpr topic_follower::backoff_bounds default_backoff{std::chrono::milliseconds(50),
                                                         std::chrono::milliseconds(800)};

void log_malformed(const record_batch& batch) {
    if (batch.malformed_records == 0) {
        return;
    }
    logging::log_line(logging::severity::warning, "records left out",
                      {{"malformed", batch.malformed_records},
                       {"read", batch.records.size()},
                       {"next_offset", batch.next_offset}});
}

} // namespace

topic_follower::topic_follower(asio::any_io_executor executor, store_client& store, topic which,
                               duration batch_delay, events handlers)
    : executor_(std::move(executor)),
      store_(store),
      which_(which),
      batch_delay_(batch_delay),
      handlers_(std::move(handlers)),
      random_(std::random_device()()),
      activation_(executor_),
      retry_delay_(executor_),
      backoff_(default_backoff) {}

asio::awaitable<void> topic_follower::run() {
    while (true) {
        if (has_listed_ && !active_) {
            activation_.expires_at(time_point::max());
            boost::system::error_code ignored;
            co_await activation_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        } else if (listed_) {
            co_await follow();
        } else {
            co_await list();
        }
    }
}

void topic_follower::set_active(bool active) {
    if (std::exchange(active_, active) == active) {
        return;
    }
    if (active) {
        listed_ = false; // one list is cheaper than all records since
        activation_.cancel();
        return;
    }
    store_lost_ = false;
    failures_ = 0;
    cancel_pending_read();
}

void topic_follower::check_connection() {
    waits_for_records_ = false;
    store_.close_idle_connections(); // these may have fallen silent as well
    cancel_pending_read();
}

void topic_follower::cancel_pending_read() {
    if (pending_read_) {
        pending_read_->cancel();
    }
}

asio::awaitable<void> topic_follower::list() {
    const auto asked_at = runtime_clock::now();
    const auto result = co_await store_.list_newest(which_);
    const auto* const batch = std::get_if<record_batch>(&result);
    if (batch == nullptr) {
        store_failure failure{"store reported expired records for a list of the newest ones"};
        if (const auto* const reported = std::get_if<store_failure>(&result)) {
            failure = *reported;
        }
        co_await on_failure(failure);
        co_return;
    }
    on_answer();
    log_malformed(*batch);
    if (batch->era > era_ && has_listed_) {
        handlers_.on_store_restored(batch->era);
    }
    has_listed_ = true;
    era_ = batch->era;
    next_offset_ = batch->next_offset;
    listed_ = true;
    for (const auto& record : batch->records) {
        handlers_.on_record(record);
    }
    handlers_.on_caught_up();
    handlers_.on_confirmed(asked_at);
}

asio::awaitable<void> topic_follower::follow() {
    pending_read_ = std::make_shared<net::cancellation>();
    // After a failure, a long poll would not tell whether the store is back until a record arrives.
    const duration wait = store_lost_ || !waits_for_records_ ? duration(0) : read_wait_;
    const auto asked_at = runtime_clock::now();
    const auto result = co_await store_.read(which_, next_offset_, wait, pending_read_);
    if (std::exchange(pending_read_, nullptr)->is_cancelled()) {
        co_return;
    }
    waits_for_records_ = true;
    if (std::holds_alternative<records_expired>(result)) {
        on_answer();
        listed_ = false;
        co_return;
    }
    const auto* const batch = std::get_if<record_batch>(&result);
    if (batch == nullptr) {
        co_await on_failure(std::get<store_failure>(result));
        co_return;
    }
    on_answer();
    if (batch->era != era_) {
        // Offsets of an earlier era say nothing about this one: records may have been skipped.
        listed_ = false;
        co_return;
    }
    next_offset_ = batch->next_offset;
    log_malformed(*batch);
    for (const auto& record : batch->records) {
        handlers_.on_record(record);
    }
    const bool was_full_wait = batch->records.empty() && runtime_clock::now() - asked_at >= wait;
    if (!batch->records.empty()) {
        handlers_.on_caught_up();
    }
    handlers_.on_confirmed(was_full_wait ? asked_at + wait : asked_at);
    if (!batch->records.empty()) {
        waits_for_records_ = !rechecks_;
        co_await net::sleep_for(executor_, batch_delay_);
    }
}

void topic_follower::on_era(std::int64_t era) {
    if (!has_listed_ || era <= era_) {
        return;
    }
    listed_ = false;
    cancel_pending_read();
}

void topic_follower::on_answer() {
    last_answer_at_ = runtime_clock::now();
    failures_ = 0;
    if (std::exchange(store_lost_, false)) {
        handlers_.on_store_regained();
    }
}

asio::awaitable<void> topic_follower::on_failure(const store_failure& failure) {
    if (!std::exchange(store_lost_, true)) {
        handlers_.on_store_lost(failure.reason);
    }
    // Records may be appended and expire while the store is unreachable; the next read reports
    // that.
    constexpr int max_doublings = 6;
    const auto backoff =
        std::min(backoff_.max, backoff_.min * (1 << std::min(failures_, max_doublings)));
    ++failures_;
    std::uniform_real_distribution<double> jitter(0.5, 1.0);
    retry_delay_.expires_after(std::chrono::duration_cast<duration>(backoff * jitter(random_)));
    boost::system::error_code ignored;
    co_await retry_delay_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

} // namespace lavenderhoist::agent
