#pragma once

#include "lavenderhoist/agent/store_client.hpp"

#include "lavenderhoist/net/cancellation.hpp"
#include "lavenderhoist/net/timer.hpp"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <random>

namespace lavenderhoist::agent {

/**
 * \brief Follows one topic of the store: lists the newest records, then reads new ones by long
 * poll.
 *
 * Reports when the store becomes unreachable and reachable again. Not thread-safe: runs on one
 * executor.
 */
class topic_follower {
public:
    struct events {
        std::function<void(const store_record&)> on_record;
        std::function<void()> on_caught_up; ///< `on_record` has been called for all known records.
        /** All records that the store had confirmed at that moment have been received. */
        std::function<void(time_point as_of)> on_confirmed;
        std::function<void(const std::string& reason)> on_store_lost;
        std::function<void()> on_store_regained;
        /** The store was restored from a copy, and the topic has been listed again. */
        std::function<void(std::int64_t era)> on_store_restored;
    };

    /** \param batch_delay pause between a read that returned records and the next one: changes come
     * in bursts, and each store call has a cost. */
    topic_follower(boost::asio::any_io_executor executor, store_client& store, topic which,
                   duration batch_delay, events handlers);

    /** \brief Runs until the executor's context stops. */
    boost::asio::awaitable<void> run();

    /** \brief Sets the pause after each further read that returns records. */
    void set_batch_delay(duration batch_delay) noexcept { batch_delay_ = batch_delay; }

    duration batch_delay() const noexcept { return batch_delay_; }

    /** \brief Sets for how long further reads wait at the store for a first record. */
    void set_read_wait(duration wait) noexcept { read_wait_ = wait; }

    /** \brief Sets whether a read that returned records is followed by one that does not wait. A
     * record ends a wait early, so until the next wait has ended nothing shows that no further one
     * was confirmed. */
    void set_rechecks(bool rechecks) noexcept { rechecks_ = rechecks; }

    /** A long wait: each call has a cost, and the store allows 30 s. */
    static constexpr duration long_read_wait = std::chrono::seconds(20);

    /** \brief Stops or resumes reading; a topic that has not been listed yet is listed in any case.
     * Begins active. */
    void set_active(bool active);

    /** \brief The pending read may have lost its connection: it is made again on another one,
     * without a wait. */
    void check_connection();

    /** \brief Bounds of the delay between calls while the store is lost. */
    struct backoff_bounds {
        duration min;
        duration max;
    };

    void set_backoff(const backoff_bounds& bounds) noexcept { backoff_ = bounds; }

    /** \brief Another call has shown that the store is back: ends the delay before the next call.
     */
    void retry_now() { retry_delay_.cancel(); }

    /** \brief Another call has shown the store's era: if it is later than that of the records, the
     * pending read is cancelled and the topic is listed again. */
    void on_era(std::int64_t era);

    /** \brief Position of the last record that was read; all records up to it are known. */
    mesh::record_position position() const noexcept { return {era_, next_offset_ - 1}; }

    /** \brief True if records are received as the store appends them. */
    bool is_reading() const noexcept { return active_ && listed_ && !store_lost_; }

    /** \brief When the store last answered a call; zero if it has not. */
    time_point last_answer_at() const noexcept { return last_answer_at_; }

    /** \brief True if the topic has been listed and reads go on from there. */
    bool is_following() const noexcept { return active_ && listed_; }

    /** \brief True if the last call of the store failed. */
    bool is_store_lost() const noexcept { return store_lost_; }

private:
    boost::asio::awaitable<void> list();
    boost::asio::awaitable<void> follow();
    boost::asio::awaitable<void> on_failure(const store_failure& failure);
    void on_answer();
    void cancel_pending_read();

    boost::asio::any_io_executor executor_;
    store_client& store_;
    topic which_;
    duration batch_delay_;
    events handlers_;
    std::mt19937_64 random_;
    net::cancellation_ptr pending_read_;
    net::timer activation_; ///< Cancelled when reading is to resume.
    net::timer retry_delay_;
    backoff_bounds backoff_;
    bool active_{true};
    duration read_wait_{long_read_wait};
    bool rechecks_{false};
    bool waits_for_records_{true}; ///< False: the next read only checks the connection.
    std::int64_t era_{0};
    std::int64_t next_offset_{0};
    bool listed_{false};     ///< Reads go on from `next_offset_`.
    bool has_listed_{false}; ///< `era_` is known.
    bool store_lost_{false};
    int failures_{0};
    time_point last_answer_at_{};
};

} // namespace lavenderhoist::agent
