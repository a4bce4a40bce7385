#pragma once

#include "lavenderhoist/core/clock.hpp"

namespace lavenderhoist::orders {

/** \brief What the author of an assignment knows about the epoch that it replaces. */
struct author_view {
    bool is_first{false};            ///< There is no earlier epoch.
    bool is_member{false};           ///< The author is a member of it.
    bool has_ended_member{false};    ///< One of its processes is known to have ended.
    milliseconds remaining_delay{0}; ///< Remaining takeover delay of the replaced assignment.
};

/** \brief Durations that are the same in the settings of all nodes of a deployment. */
struct lease_settings {
    milliseconds lease{0};
    milliseconds outage_limit{0};
};

/**
 * \brief Time from reading a new assignment until the new owners of moved keys may run them, unless
 * the earlier owner hands over.
 *
 * Every lease began before the assignment was written or was confirmed by a read that preceded it,
 * so it has ended one lease (and the drift of the clocks) after any read of the assignment. While
 * the log is unavailable, members extend their leases if *all* members confirm that there is no
 * newer epoch. This confirmation does not cover an assignment written by a node that is not a
 * member, so its delay includes the outage limit, unless a member has ended: then the confirmation
 * of all members cannot be obtained any more.
 */
milliseconds takeover_delay(const author_view& seen, const lease_settings& lengths) noexcept;

} // namespace lavenderhoist::orders
