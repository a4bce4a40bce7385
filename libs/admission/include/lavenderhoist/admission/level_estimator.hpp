#pragma once

#include "lavenderhoist/admission/priority.hpp"

#include <array>

namespace lavenderhoist::admission {

/**
 * \brief Works out the admission level: the least priority that is worth sending to this target.
 *
 * Estimates the demand of each rank. Callers hold back what lies below the level, so the demand of
 * a rank is extrapolated from its cohorts above the level: cohorts are hashes, hence equally
 * frequent. In an overloaded window the level is set to where the demand above it fills the
 * capacity; otherwise it falls so far that the demand between would fill half of the spare
 * capacity. Without any arrivals it opens within ten windows.
 */
class level_estimator {
public:
    /** \brief What happened in a window besides the arrivals. */
    struct window {
        int finished{0}; ///< Requests that left their slots.
        int capacity{0}; ///< Requests that could have left them; 0 if not known.
        bool overloaded{false};
        /** If overloaded: the share of the capacity that a rank may fill, with those above it. */
        std::array<float, ranks> fill{};
    };

    priority level() const noexcept { return level_; }

    void on_arrival(priority importance) noexcept;

    void on_window(const window& seen) noexcept;

private:
    void move_to(priority wanted) noexcept;
    void estimate_demand() noexcept;
    void estimate_rank(int rank) noexcept;

    /** The level above which the demand fills `capacity` as far as each rank may. */
    priority level_for(float capacity, const std::array<float, ranks>& fill) const noexcept;

    /** The estimated demand a window above a level. */
    float demand_above(priority level) const noexcept;

    priority level_{open_level};
    std::array<float, ranks> arrivals_{}; // of this window, at or above the level
    std::array<float, ranks> demand_{};   // per window
    int arrived_{0};
};

} // namespace lavenderhoist::admission
