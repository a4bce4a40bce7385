#pragma once

#include "lavenderhoist/agent/store_client.hpp"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <random>

namespace lavenderhoist::agent {

/**
 * \brief Keeps up with one topic: lists the newest records, then waits for new ones.
 *
 * Tells when the store is lost and regained. Lives on one executor.
 */
class topic_follower {
public:
    struct events {
        std::function<void(const store_record&)> on_record;
        std::function<void()> on_caught_up; ///< All records known to the store have been handed on.
        std::function<void(const std::string& reason)> on_store_lost;
        std::function<void()> on_store_regained;
    };

    /** \param gather how long to wait after records for those that follow: changes come in series,
     * and every call has a price. */
    topic_follower(boost::asio::any_io_executor executor, store_client& store, topic which,
                   duration batch_delay, events handlers);

    /** \brief Runs until the executor's context stops. */
    boost::asio::awaitable<void> run();

    /** \brief Changes how long to gather records from now on. */
    void set_batch_delay(duration batch_delay) noexcept { batch_delay_ = batch_delay; }

    duration batch_delay() const noexcept { return batch_delay_; }

    bool is_store_lost() const noexcept { return lost_; }

private:
    boost::asio::awaitable<void> list();
    boost::asio::awaitable<void> follow();
    boost::asio::awaitable<void> after_failure(const store_failure& failed);
    void note_answer();

    boost::asio::any_io_executor executor_;
    store_client& store_;
    topic which_;
    duration batch_delay_;
    events handlers_;
    std::mt19937_64 random_;
    std::int64_t next_offset_{0};
    bool listed_{false};
    bool lost_{false};
    int failures_{0};
};

} // namespace lavenderhoist::agent
