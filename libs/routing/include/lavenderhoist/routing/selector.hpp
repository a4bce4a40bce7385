#pragma once

#include "lavenderhoist/routing/candidate.hpp"

#include <cstdint>
#include <random>
#include <span>
#include <variant>

namespace lavenderhoist::routing {

/** \brief The index of the chosen candidate. */
struct chosen {
    std::size_t index;
};

/** \brief Every available, untried candidate has an admission level above the importance of the
 * call. */
struct all_refuse {
    int level; ///< Minimum level of these candidates.
};

/** \brief No untried candidate is available. */
struct none_available {};

using choice = std::variant<chosen, all_refuse, none_available>;

/**
 * \brief Chooses a target by the power of two choices: of two random candidates, the one with fewer
 * calls in flight. Only targets whose level admits the call are considered, those of the local data
 * centre first.
 */
class selector {
public:
    explicit selector(std::uint64_t seed) : random_(seed) {}

    choice choose(std::span<const candidate> candidates, int importance, time_point now);

private:
    std::size_t pick_of_two(std::span<const candidate> candidates,
                            std::span<const std::size_t> open);

    std::mt19937_64 random_;
};

/** \brief The minimum level of the available candidates; `closed` if none is available. */
int min_level(std::span<const candidate> candidates, int closed, time_point now);

} // namespace lavenderhoist::routing
