#pragma once

#include "lavenderhoist/core/clock.hpp"

#include <cstdint>

namespace lavenderhoist::retry {

/**
 * \brief Delay before a refused request may be retried: from `base` to less than twice `base`, so
 * that requests refused together are not retried together. \param spread any value that differs
 * between callers, such as a hash of the request.
 */
duration spread_retry_after(duration base, std::uint64_t spread) noexcept;

} // namespace lavenderhoist::retry
