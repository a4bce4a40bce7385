#pragma once

#include "lavenderhoist/core/clock.hpp"

#include <cstdint>

namespace lavenderhoist::agent::internal {

/** \brief Whole milliseconds of a duration, for log lines and metrics. */
inline std::int64_t in_ms(duration length) {
    return std::chrono::duration_cast<milliseconds>(length).count();
}

} // namespace lavenderhoist::agent::internal
