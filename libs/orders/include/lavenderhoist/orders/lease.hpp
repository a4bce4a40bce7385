#pragma once

#include "lavenderhoist/core/clock.hpp"

#include <cstdint>

namespace lavenderhoist::orders {

/**
 * \brief The right of an owner to start orders in one epoch, for a limited time.
 *
 * It starts when the request is *sent* whose response confirmed that there is no newer epoch, so
 * that any later epoch was written after the start of the lease. It ends with a new epoch or with
 * an outage of the log that is longer than the limit.
 */
class lease {
public:
    /** \brief Durations. */
    struct timing {
        duration length;       ///< Of the lease.
        duration outage_limit; ///< Maximum time from the last read of the log to the end of a lease
                               ///< that members confirm.
    };

    explicit lease(timing times) noexcept : times_(times) {}

    /** \brief A read of the log's tail, requested at `requested_at`, returned `epoch` as the
     * newest. */
    void on_log_confirmed(std::int64_t epoch, time_point requested_at) noexcept;

    /**
     * \brief All other members of `epoch`, in response to requests sent at `requested_at`,
     * confirmed that they know no newer epoch and have no unconfirmed append of a record.
     */
    void on_members_confirmed(std::int64_t epoch, time_point requested_at) noexcept;

    /** \brief The owner has read the record of an epoch; leases of earlier epochs end. */
    void on_epoch(std::int64_t epoch) noexcept;

    /** \brief End of the lease for `epoch`; a moment in the past if there is none. */
    time_point valid_until(std::int64_t epoch) const noexcept;

private:
    void extend(std::int64_t epoch, time_point requested_at) noexcept;

    timing times_;
    std::int64_t epoch_{0};
    time_point valid_until_{};
    time_point last_log_read_at_{};
    bool has_log_read_{false};
};

} // namespace lavenderhoist::orders
