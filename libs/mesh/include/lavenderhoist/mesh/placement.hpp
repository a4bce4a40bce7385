#pragma once

#include "lavenderhoist/core/clock.hpp"

#include <cstdint>
#include <optional>
#include <random>
#include <span>

namespace lavenderhoist::mesh {

/** \brief How near a target is to the caller's node; a nearer one costs less. */
enum class distance : std::uint8_t { local_host, local_data_centre, remote_data_centre };

/** \brief A target that a request could be sent to. */
struct candidate {
    distance where{distance::remote_data_centre};
    double load{0}; ///< Requests at work and waiting there, per request that it works on at once.
    int level{0};   ///< Requests of less importance are refused there.
};

/**
 * \brief Chooses the target of a request.
 *
 * The nearest target with room; if none near has room, the least loaded one of all, provided that
 * it is clearly less loaded. Bytes between data centres are dear, but a request that waits or is
 * refused is dearer.
 */
class placement {
public:
    /** \brief Load up to which a near target is taken without looking further. */
    static constexpr double max_preferred_load = 0.85;
    /** \brief How much less loaded a farther target must be to be preferred to a full near one. */
    static constexpr double min_load_advantage = 0.25;

    explicit placement(std::uint64_t seed) : random_(seed) {}

    /** \returns the index of an option whose level admits `importance`; nothing if there is none.
     */
    std::optional<std::size_t> choose(std::span<const candidate> candidates, int importance);

private:
    std::optional<std::size_t> least_loaded(std::span<const candidate> candidates, int importance,
                                            distance farthest);

    std::mt19937_64 random_;
};

} // namespace lavenderhoist::mesh
