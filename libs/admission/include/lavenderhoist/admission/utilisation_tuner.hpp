#pragma once

#include <array>
#include <cstddef>

namespace lavenderhoist::admission {

/**
 * \brief Finds the utilisation of a target's slots at which its throughput is highest.
 *
 * Some targets slow down when nearly all of their slots are in use: under overload, the last slots
 * then lower the throughput. While requests are queued, a few shares of the slots are tried in
 * turn, and the one with the highest throughput is used for a while. No share is tried while slots
 * are free, as the throughput then depends on the demand and not on the target.
 */
class utilisation_tuner {
public:
    /** \brief The maximum number of requests in flight for a target with `slots` slots. */
    int limit(int slots) const noexcept;

    /** \brief Starts no trial for this many windows: while a target is slow after a cold start, the
     * shares tried first would measure a lower throughput than those tried last. */
    void pause(int windows) noexcept;

    /** \brief Ends a window. \param finished number of requests that finished in it. \param
     * saturated true if requests were queued all the time. */
    void on_window(int finished, bool saturated) noexcept;

private:
    /** The first share is used until the others have been tried. */
    static constexpr std::array shares{0.94, 1.0, 0.88, 0.82};

    void finish_trial() noexcept;
    bool is_clearly_worse() const noexcept;
    double rate() const noexcept;

    std::size_t best_{0};  ///< Index of the share in use between series of trials.
    std::size_t trial_{0}; ///< Index of the share on trial; shares.size() between series of trials.

    /** Requests finished per window at each share; 0: not measured. */
    std::array<double, shares.size()> rates_{};

    int windows_{0}; ///< Saturated windows since the trial, or the interval between series, began.
    int paused_windows_{0}; ///< Windows until trials may start.
    int finished_{0};       ///< Requests finished in the measured windows of this trial.
};

} // namespace lavenderhoist::admission
