#pragma once

#include "lavenderhoist/core/clock.hpp"
#include "lavenderhoist/quota/rate_quota.hpp"
#include "lavenderhoist/quota/usage.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace lavenderhoist::quota {

/** \brief The usage of an organisation in the last seconds. A pure state machine. */
class usage_window {
public:
    static constexpr duration length = std::chrono::seconds(5);

    /** What is kept. Longer than `length`: a burst that is taken for unused once in `length` would
     * be admitted again in each, and leave no room for a sudden rise of demand. */
    static constexpr duration memory = std::chrono::seconds(20);

    void add(const usage& more, time_point now) noexcept;

    /** \brief Usage in the last `length`, or in the last `within`, at most `memory`. */
    usage sum(time_point now, duration within = length) const noexcept;

    /**
     * \brief Requests that the bucket of a quota holds, if it was full `memory` ago; negative if
     * more were admitted than the quota allows.
     */
    double tokens(const rate_quota& quota, time_point now) const noexcept;

    /**
     * \brief Share of the arriving requests that may be admitted, from 0 to 1, so that the quota is
     * used and kept.
     */
    double admission_share(const rate_quota& quota, time_point now) const noexcept;

private:
    static constexpr std::size_t slot_count = 80;
    static constexpr duration slot_length = memory / static_cast<int>(slot_count);

    /** What the bucket holds is spent, and what it lacks saved, within this time. */
    static constexpr std::chrono::duration<double> balance_time{0.5};

    /** Demand is measured over this time: short, since what arrives before it is known to have
     * risen is admitted. */
    static constexpr duration demand_time = slot_length;

    struct slot {
        std::int64_t number{-1};
        usage counts;
    };

    static std::int64_t number_at(time_point now) noexcept {
        return now.time_since_epoch() / slot_length;
    }

    std::array<slot, slot_count + 1> slots_{}; ///< The current one is incomplete.
};

} // namespace lavenderhoist::quota
