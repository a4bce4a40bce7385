#pragma once

#include "lavenderhoist/cluster/log_client.hpp"
#include "lavenderhoist/net/signal.hpp"
#include "lavenderhoist/records/record_store.hpp"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace lavenderhoist::node {

/** \brief One entry of a topic's history, as read from the log. */
struct history_entry {
    records::located_record record;
    records::verdict judged{records::verdict::rejected};
};

/**
 * \brief Reads the log into a record_store, in rounds; one round serves all calls of
 * read_to_tail() made before it began. Lives on the control thread.
 */
class log_follower {
public:
    using change_handler = std::function<void(const records::located_record&)>;

    log_follower(boost::asio::any_io_executor executor, log_client& log,
                 records::record_store& store);

    /** \brief Called for every record that becomes current by a read. */
    void on_change(change_handler handler) { on_change_ = std::move(handler); }

    /**
     * \brief Waits for a read that begins after this call and reaches the tail.
     * \returns false if the log did not answer.
     */
    boost::asio::awaitable<bool> read_to_tail(duration timeout);

    /** \brief Control addresses of nodes that the log names, newest first. */
    std::vector<std::string> contacts() const;

    /** \brief Ids of the nodes that the log names as contacts, and when each record was written. */
    const std::map<std::string, time_point>& contacts_written_at() const noexcept {
        return contacts_written_at_;
    }

    /** \brief The most recently read records of a type, oldest first. */
    std::vector<history_entry> history(records::record_type what) const;

    /** \brief When the record at that offset was written, by the age that the log reports.
     * \returns nothing if the record is not in the history. */
    std::optional<time_point> written_at(std::int64_t offset) const;

    duration retention() const noexcept { return retention_; }
    bool is_available() const noexcept { return is_available_; }

private:
    struct round {
        std::vector<std::shared_ptr<net::signal>> waiters;
        bool succeeded{false};
    };

    boost::asio::awaitable<bool> run_round();
    void apply(const log_batch& batch);
    void apply_item(const log_batch::item& item);

    boost::asio::any_io_executor executor_;
    log_client& log_;
    records::record_store& store_;
    change_handler on_change_;
    std::shared_ptr<round> next_round_;
    bool is_reading_{false};
    std::int64_t next_offset_{0};
    duration retention_{0};
    bool is_available_{false};
    std::deque<history_entry> history_;
    std::map<std::int64_t, time_point> written_at_;
    std::map<std::string, std::pair<std::int64_t, std::string>> contacts_; // by id: offset, address
    std::map<std::string, time_point> contacts_written_at_;
};

} // namespace lavenderhoist::node
