#pragma once

#include "lavenderhoist/admission/request_info.hpp"

#include <map>
#include <optional>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace lavenderhoist::admission {

/**
 * \brief Requests that wait for a slot: by rank, then work under way before new work, then age.
 *
 * Cohorts decide who is sent here (see level_estimator), not who goes first: ordered by cohort, the
 * lower ones of a rank would be overtaken until they are given up, although all of them fit.
 */
class wait_queue {
public:
    /** \brief A request and the time at which it began to wait. */
    struct entry {
        request_info request;
        time_point since;
    };

    std::size_t size() const noexcept { return entries_.size(); }

    void push(const request_info& request, time_point now);

    /** \brief Takes the most important entry. \returns nothing if the queue is empty. */
    std::optional<entry> pop();

    /** \brief The least important entry, or null. */
    const entry* last() const noexcept;

    /** \brief True if `request` would stand before the least important entry. */
    bool precedes_last(const request_info& request, time_point now) const noexcept;

    /** \brief How many entries would be served before `request`. */
    std::size_t ahead_of(const request_info& request, time_point now) const;

    /** \returns true if the request was waiting. */
    bool remove(std::uint64_t id);

    /** \brief Removes and returns the entries whose deadline is at or before `latest`. */
    std::vector<entry> take_expired(time_point latest);

private:
    using position = std::tuple<int, bool, duration::rep, std::uint64_t>;

    static position position_of(const request_info& request, time_point since) noexcept;

    std::map<position, entry> entries_; // the most important entry comes first
    std::unordered_map<std::uint64_t, position> positions_;
};

} // namespace lavenderhoist::admission
