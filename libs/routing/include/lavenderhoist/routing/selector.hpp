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

/** \brief Every candidate that is up is known to refuse calls of this importance. */
struct all_refuse {
    int level; ///< The lowest level among them.
};

/** \brief No candidate is up. */
struct none_available {};

using choice = std::variant<chosen, all_refuse, none_available>;

/**
 * \brief Chooses a target by the power of two choices: of two at random, the one with less in
 * flight; own data centre first; only targets whose level admits the call.
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

/** \brief The lowest level among the available candidates; `closed` if none is available. */
int min_level(std::span<const candidate> candidates, int closed, time_point now);

} // namespace lavenderhoist::routing
