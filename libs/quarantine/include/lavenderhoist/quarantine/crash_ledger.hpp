#pragma once

#include "lavenderhoist/core/clock.hpp"
#include "lavenderhoist/quarantine/suspicion.hpp"

#include <cstdint>
#include <map>
#include <span>
#include <vector>

namespace lavenderhoist::quarantine {

/**
 * \brief Finds requests that crash their targets.
 *
 * When a target ends, the requests that it was running become suspects, but for those that it has
 * lately run to their end. A suspect is cleared when any target runs it to its end; one that was
 * being run at `ends_to_quarantine` ends is quarantined until the suspicions expire. Ledgers of
 * several nodes that merge each other's suspicions agree, in whatever order these arrive and
 * however often.
 *
 * All times are wall-clock times, since suspicions outlive the process. Not thread-safe.
 */
class crash_ledger {
public:
    /** Ends of targets under a request until it is sent to no further one. */
    static constexpr std::size_t ends_to_quarantine = 2;

    static constexpr milliseconds suspicion_lifetime = std::chrono::minutes(10);

    /** A request that the target has run to its end within this time is not what ended it. */
    static constexpr milliseconds innocence_lifetime = std::chrono::seconds(10);

    /** Suspects kept; the oldest make room. */
    static constexpr std::size_t max_requests = 4'096;

    /**
     * \brief The local target ended while it ran the requests with these digests.
     * \param end identifies the end; further calls with it add to the same end.
     * \returns the suspicions raised, to be merged by the other nodes.
     */
    std::vector<suspicion> on_end(std::uint64_t end, std::span<const std::uint64_t> running,
                                  milliseconds now);

    /**
     * \brief The local target has run a request to its end.
     * \returns the suspicions that this clears, to be merged by the other nodes.
     */
    std::vector<suspicion> on_completed(std::uint64_t request, milliseconds now);

    /** \brief Adds what other nodes have found. \returns the number of suspicions that were new. */
    std::size_t merge(std::span<const suspicion> found, milliseconds now);

    bool is_suspect(std::uint64_t request, milliseconds now) const;
    bool is_quarantined(std::uint64_t request, milliseconds now) const;

    /** \brief True if no request is under suspicion. */
    bool is_empty() const noexcept { return suspects_.empty(); }

    /** \brief All suspicions that have not expired, cleared ones included. */
    std::vector<suspicion> suspicions(milliseconds now) const;

    /** \brief The suspicions because of which a request is quarantined; empty if it is not. */
    std::vector<suspicion> grounds(std::uint64_t request, milliseconds now) const;

private:
    using ends = std::map<std::uint64_t, suspicion>; ///< By end.

    struct completion {
        std::uint64_t request{0};
        milliseconds at{-innocence_lifetime};
    };

    /** Slots of the completions remembered; a later one in a slot replaces the earlier one. */
    static constexpr std::size_t completion_slots = 4'096;

    completion& slot_of(std::uint64_t request) noexcept {
        return completions_[request % completion_slots];
    }
    void make_room(milliseconds now);
    static bool is_current(const suspicion& each, milliseconds now) noexcept;
    static bool counts(const suspicion& each, milliseconds now) noexcept;

    std::map<std::uint64_t, ends> suspects_; ///< By request.
    std::vector<completion> completions_ = std::vector<completion>(completion_slots);
};

} // namespace lavenderhoist::quarantine
