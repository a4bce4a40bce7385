#pragma once

#include "lavenderhoist/cluster/log_client.hpp"
#include "lavenderhoist/cluster/log_follower.hpp"
#include "lavenderhoist/core/error.hpp"
#include "lavenderhoist/records/record_store.hpp"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <optional>
#include <set>
#include <string>

namespace lavenderhoist::node {

/** \brief How the publication of a record ended. */
enum class publication : std::uint8_t {
    current,     ///< The record is the current one of its topic.
    conflict,    ///< Another record became current; this one has no effect.
    unavailable, ///< The log could not be read, so nothing was appended.
    unknown,     ///< An append may still take effect; the history shows the outcome later.
};

/** \brief Result of a publication, with the current record of the topic. */
struct publication_result {
    publication status{publication::unavailable};
    std::optional<records::located_record> current;
    std::string id; ///< Of the record that was to be published.
};

/**
 * \brief Appends successors of records to the log and determines whether they became current.
 *
 * An append without confirmation is retried with the same record: of two records with the same
 * version the earlier one stays current, so a duplicate has no effect.
 */
class record_publisher {
public:
    record_publisher(log_client& log, log_follower& follower, records::record_store& store);

    /** \brief Makes the record to append, from a successor with version and offset filled in. */
    using author = std::function<std::optional<records::record>(records::record successor)>;

    /**
     * \brief Reads the log, lets `write` fill in the successor and appends it.
     * \param write returns nothing if there is nothing to publish any more.
     */
    boost::asio::awaitable<publication_result> publish(records::record_topic topic, author write);

    /** \brief True while an append by this node to the topic is unconfirmed and may still become
     * current. */
    bool is_outstanding(const records::record_topic& topic);

private:
    boost::asio::awaitable<bool> append_until_confirmed(std::string payload);
    publication_result determine_result(const records::record_topic& topic, const std::string& id,
                                        std::int64_t version);

    log_client& log_;
    log_follower& follower_;
    records::record_store& store_;
    std::map<records::record_topic, std::int64_t> outstanding_versions_; // version being appended
};

} // namespace lavenderhoist::node
