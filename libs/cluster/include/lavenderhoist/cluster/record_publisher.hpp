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
    conflict,    ///< Another record won; nothing of this one is in force.
    unavailable, ///< The log could not be read, so nothing was appended.
    unknown,     ///< An append may yet take effect; the history will tell.
};

/** \brief The end of a publication, with the record that stands now. */
struct publication_result {
    publication status{publication::unavailable};
    std::optional<records::located_record> current;
    std::string id; ///< Of the record that was to be published.
};

/**
 * \brief Appends successors of records to the log and judges what became of them.
 *
 * A lost confirmation is answered by appending the same record again: of two records with one
 * version the earlier stands, so the repetition is harmless.
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
    boost::asio::awaitable<publication_result> publish(records::record_topic about, author write);

    /** \brief True while an append of this node for the topic may yet take effect. */
    bool is_outstanding(const records::record_topic& about);

private:
    boost::asio::awaitable<bool> append_until_confirmed(std::string payload);
    publication_result judge(const records::record_topic& about, const std::string& id,
                             std::int64_t version);

    log_client& log_;
    log_follower& follower_;
    records::record_store& store_;
    std::map<records::record_topic, std::int64_t> outstanding_; // version being appended
};

} // namespace lavenderhoist::node
