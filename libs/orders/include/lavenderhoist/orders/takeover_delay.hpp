#pragma once

#include "lavenderhoist/core/clock.hpp"

namespace lavenderhoist::orders {

/** \brief What the author of an assignment knows of the epoch that it replaces. */
struct author_view {
    bool is_first{false};            ///< There is no earlier epoch.
    bool is_member{false};           ///< The author is a member of it.
    bool has_ended_member{false};    ///< One of its processes is known to have ended.
    milliseconds remaining_delay{0}; ///< What is left of the wait that it asked for itself.
};

/** \brief Lengths that all nodes of a deployment have in their settings. */
struct lease_settings {
    milliseconds lease{0};
    milliseconds outage_limit{0};
};

/**
 * \brief How long the takers of moved keys wait after they have read the new assignment, unless the
 * old owner hands over.
 *
 * Every lease began before the assignment was written or was confirmed by a read that preceded it,
 * so it has ended one lease (and the drift of the clocks) after any read of the assignment. While
 * the log is out, members act on the word of *all* members that nothing newer stands. That word
 * does not cover what an outsider writes, unless one of the members has ended, after which it can't
 * be had.
 */
milliseconds takeover_delay(const author_view& seen, const lease_settings& lengths) noexcept;

} // namespace lavenderhoist::orders
