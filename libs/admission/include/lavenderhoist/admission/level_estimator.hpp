#pragma once

#include "lavenderhoist/admission/priority.hpp"

#include <array>
#include <optional>

namespace lavenderhoist::admission {

/**
 * \brief Determines the admission level: the minimum priority of requests for this target.
 *
 * Estimates the demand of each rank. Callers throttle requests below the level, so the demand of a
 * rank is extrapolated from its cohorts above the level: cohorts are hashes, hence equally
 * frequent. In an overloaded window the level is set so that the demand above it uses the capacity;
 * otherwise it falls until the additional demand would use half of the spare capacity. Without any
 * arrivals it falls to open_level within ten windows.
 */
class level_estimator {
public:
    /** \brief The figures of a window other than its arrivals. */
    struct window {
        int finished{0}; ///< Requests that were answered.
        int capacity{0}; ///< Requests that could have been answered; 0 if not known.
        bool overloaded{false};
        /** If overloaded: the share of the capacity that a rank and those above it may use
         * together. */
        std::array<float, ranks> max_utilisation{};
        std::optional<float> max_capacity; ///< Requests that the target accepts; no bound if unset.
    };

    priority level() const noexcept { return level_; }

    void on_arrival(priority importance) noexcept;

    void on_window(const window& seen) noexcept;

private:
    void move_to(priority desired) noexcept;
    void estimate_demand() noexcept;
    void estimate_rank(int rank) noexcept;

    /** The level above which the demand uses `capacity`, up to the utilisation allowed to each
     * rank. */
    priority level_for(float capacity,
                       const std::array<float, ranks>& max_utilisation) const noexcept;

    /** The estimated demand above a level, in requests per window. */
    float demand_above(priority level) const noexcept;

    priority level_{open_level};
    std::array<float, ranks> arrivals_{}; // requests of this window at or above the level, by rank
    std::array<float, ranks> demand_{};   // estimated requests per window, by rank
    int all_arrivals_{0};                 // requests of this window, at any level
};

} // namespace lavenderhoist::admission
