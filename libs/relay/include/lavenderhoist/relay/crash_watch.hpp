#pragma once

#include "lavenderhoist/core/clock.hpp"
#include "lavenderhoist/quarantine/crash_ledger.hpp"
#include "lavenderhoist/quarantine/request_digests.hpp"
#include "lavenderhoist/quarantine/suspicion.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lavenderhoist::relay {

struct relay_request;

/** \brief Identifies requests that do the same at a target. */
quarantine::request_digests digests_of(const relay_request& request);

/**
 * \brief Keeps requests that crash their targets from further ones: collects what the local target
 * was running as it ended, and what other nodes have found.
 *
 * Not thread-safe: used on the data thread.
 */
class crash_watch {
public:
    /** \brief What is to be told to the other nodes. */
    struct news {
        std::vector<quarantine::suspicion> suspicions; ///< New ones, and those cleared.
        /** Grounds of the requests that the end of the local target has put into quarantine. */
        std::vector<quarantine::suspicion> quarantined;
    };
    using news_handler = std::function<void(news)>;

    /** \param node_id tells the ends of different hosts' targets apart. */
    explicit crash_watch(std::string node_id) : node_id_(std::move(node_id)) {}

    void set_news_handler(news_handler handler) { tell_ = std::move(handler); }

    /** \brief The local target left a request without an answer: it may have ended. */
    void on_unanswered(const quarantine::request_digests& request);

    /** \brief The local target has run a request to its end. */
    void on_completed(const quarantine::request_digests& request);

    /** \brief A connection to the local target has been established: a further end is another one.
     */
    void on_connected() noexcept;

    /**
     * \brief The local target has ended. Further calls add to the same end until a connection has
     * been established or another start has ended.
     * \param running the requests that were at work, besides those left without an answer lately.
     */
    void on_target_ended(std::string_view target_id, std::int64_t started_at_ms,
                         std::vector<quarantine::request_digests> running);

    /** \brief The local target has stopped as planned, or another one has taken its place. */
    void forget_unanswered() noexcept { unanswered_.clear(); }

    /** \brief Adds what other nodes have found. */
    void merge(std::span<const quarantine::suspicion> found);

    /** \brief True if the request must not be sent to a target. */
    bool is_quarantined(const relay_request& request) const;

    /** \brief Tells the other nodes what was cleared since the last call. To be called often. */
    void tell_cleared();

    std::vector<quarantine::suspicion> suspicions() const;

private:
    struct unanswered_request {
        quarantine::request_digests request;
        time_point at;
    };

    std::string node_id_;
    quarantine::crash_ledger ledger_;
    std::deque<unanswered_request> unanswered_; ///< By the current start; in order of time.
    std::vector<quarantine::suspicion> cleared_;
    std::uint64_t ends_{0}; ///< Tells the ends of one start apart.
    bool has_ended_{false}; ///< No connection has been established since the last end.
    news_handler tell_;
};

} // namespace lavenderhoist::relay
