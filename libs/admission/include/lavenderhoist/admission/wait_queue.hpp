#pragma once

#include "lavenderhoist/admission/request_info.hpp"

#include <map>
#include <optional>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace lavenderhoist::admission {

/**
 * \brief Requests that wait for a slot, ordered by rank, then nested calls before new requests,
 * then age.
 *
 * Cohorts decide which requests are sent to this target (see level_estimator), not their order in
 * the queue: ordered by cohort, requests of the lower cohorts of a rank would be overtaken until
 * they expire, although there is capacity for all of them.
 */
class wait_queue {
public:
    /** \brief A request and the time at which it was queued. */
    struct entry {
        request_info request;
        time_point queued_at;
    };

    std::size_t size() const noexcept { return entries_.size(); }

    void push(const request_info& request, time_point now);

    /** \brief Removes and returns the first entry. \returns nothing if the queue is empty. */
    std::optional<entry> pop();

    /** \brief The entry that would be served last, or null. */
    const entry* last() const noexcept;

    /** \brief True if `request` would be served before the last entry. */
    bool is_before_last(const request_info& request, time_point now) const noexcept;

    /** \brief The number of entries that would be served before `request`. */
    std::size_t count_ahead(const request_info& request, time_point now) const;

    /** \returns true if the request was queued. */
    bool remove(std::uint64_t id);

    /** \brief Removes and returns the entries whose deadline is at or before `expired_until`. */
    std::vector<entry> take_expired(time_point expired_until);

private:
    using position = std::tuple<int, bool, duration::rep, std::uint64_t>;

    static position position_of(const request_info& request, time_point queued_at) noexcept;

    std::map<position, entry> entries_; // in the order of service
    std::unordered_map<std::uint64_t, position> positions_;
};

} // namespace lavenderhoist::admission
