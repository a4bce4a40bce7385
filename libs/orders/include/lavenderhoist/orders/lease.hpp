#pragma once

#include "lavenderhoist/core/clock.hpp"

#include <cstdint>

namespace lavenderhoist::orders {

/**
 * \brief The right of an owner to start orders in one epoch, for a limited time.
 *
 * It runs from the *sending* of the question whose answer showed that no newer epoch stands, so
 * that any later epoch was written after the lease began. A new epoch or a longer outage than the
 * limit ends it.
 */
class lease {
public:
    /** \brief Lengths of time. */
    struct timing {
        duration length;       ///< Of the lease.
        duration outage_limit; ///< How long the members' word stands in for the log.
    };

    explicit lease(timing times) noexcept : times_(times) {}

    /** \brief A read of the log's tail, asked for at `asked`, showed `epoch` as the newest. */
    void on_log_confirmed(std::int64_t epoch, time_point asked) noexcept;

    /**
     * \brief All other members of `epoch`, asked at `asked`, know of nothing newer and have no
     * append of their own whose effect is open.
     */
    void on_members_confirmed(std::int64_t epoch, time_point asked) noexcept;

    /** \brief The owner has learnt of an epoch; leases of earlier ones are over. */
    void on_epoch(std::int64_t epoch) noexcept;

    /** \brief The end of the lease for `epoch`; in the past if there is none. */
    time_point valid_until(std::int64_t epoch) const noexcept;

private:
    void extend(std::int64_t epoch, time_point asked) noexcept;

    timing times_;
    std::int64_t epoch_{0};
    time_point until_{};
    time_point last_log_read_{};
    bool has_log_read_{false};
};

} // namespace lavenderhoist::orders
