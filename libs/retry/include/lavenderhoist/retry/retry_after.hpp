#pragma once

#include "lavenderhoist/core/clock.hpp"

#include <cstdint>

namespace lavenderhoist::retry {

/**
 * \brief When a refused caller should come back: at least `base`, spread over as much again, so
 * that callers refused together do not return together. \param spread any value that differs
 * between callers, such as a hash of the request.
 */
duration spread_retry_after(duration base, std::uint64_t spread) noexcept;

} // namespace lavenderhoist::retry
