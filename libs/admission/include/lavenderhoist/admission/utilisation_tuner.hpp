#pragma once

#include <array>
#include <cstddef>

namespace lavenderhoist::admission {

/**
 * \brief Seeks the share of a target's slots at which it finishes most.
 *
 * Answers the load pattern of a target that slows down when it is nearly full: under overload its
 * last slots then cost more than they bring. While requests wait, a few shares are tried in turn,
 * and the one that finishes most is kept for a while. Nothing is tried while there is room, as what
 * is finished then says nothing about the target.
 */
class utilisation_tuner {
public:
    /** \brief The most requests to run at once, of `slots`. */
    int bound(int slots) const noexcept;

    /** \brief Tries nothing for so many windows: a target that is still slow after its start makes
     * the shares tried first look worse than those tried last. */
    void hold(int windows) noexcept;

    /** \brief Ends a window. \param saturated requests waited all the time. */
    void on_window(int finished, bool saturated) noexcept;

private:
    /** The first one is used until others have been tried. */
    static constexpr std::array shares{0.94, 1.0, 0.88, 0.82};

    void try_next() noexcept;
    bool is_clearly_worse() const noexcept;
    double rate() const noexcept;

    std::size_t best_{0};
    std::size_t tried_{0}; ///< Under trial; beyond the last one: none, until the rest has passed.
    std::array<double, shares.size()> rates_{}; ///< Finished a window at each share; 0: unknown.
    int windows_{0};                            ///< Saturated ones of this trial, or of the rest.
    int held_{0};                               ///< Windows until shares are tried.
    int finished_{0};                           ///< In the measured windows of this trial.
};

} // namespace lavenderhoist::admission
