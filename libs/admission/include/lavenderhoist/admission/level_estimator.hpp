#pragma once

#include "lavenderhoist/admission/priority.hpp"

#include <array>

namespace lavenderhoist::admission {

/**
 * \brief Works out the admission level: the least priority that is worth sending to this target.
 *
 * Counts arrivals per priority over windows. In an overloaded window the level rises to where the
 * arrivals above it fill the capacity; otherwise it falls so far that the arrivals remembered from
 * below it would fill half of the spare capacity. Without memory of lower arrivals it opens at
 * once.
 */
class level_estimator {
public:
    /** \brief What happened in a window besides the arrivals. */
    struct window {
        int finished{0}; ///< Requests that left their slots.
        int capacity{0}; ///< Requests that could have left them; 0 if not known.
        bool overloaded{false};
    };

    priority level() const noexcept { return level_; }

    void on_arrival(priority importance) noexcept;

    void on_window(const window& seen) noexcept;

private:
    void raise(const window& seen) noexcept;
    void lower(const window& seen) noexcept;
    void remember_arrivals() noexcept;

    priority level_{open_level};
    std::array<float, closed_level> arrivals_{};   // of this window
    std::array<float, closed_level> remembered_{}; // per window, smoothed
    float arrived_{0};
};

} // namespace lavenderhoist::admission
