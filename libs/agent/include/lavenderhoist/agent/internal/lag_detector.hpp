#pragma once

#include "lavenderhoist/core/clock.hpp"

#include <cstdint>
#include <optional>

namespace lavenderhoist::agent::internal {

/**
 * \brief Tells a reader whose news is on its way from one that has missed it.
 *
 * Fed with comparisons of versions with other nodes, each with another one.
 */
class lag_detector {
public:
    /**
     * \brief Takes note of a comparison.
     * \param patience how long the own version may stand still behind the other.
     * \returns true if it has stood still for longer.
     */
    bool on_comparison(std::int64_t own, std::int64_t theirs, duration patience, time_point now);

private:
    std::int64_t own_{0};
    std::optional<time_point> behind_since_; ///< With the version `own_`.
};

} // namespace lavenderhoist::agent::internal
