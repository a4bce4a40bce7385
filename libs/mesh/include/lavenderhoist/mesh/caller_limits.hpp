#pragma once

#include "lavenderhoist/core/clock.hpp"

#include <cstddef>

namespace lavenderhoist::mesh {

/** \brief Limits on the size of a caller's requests and on the time to send them or stay idle. */
struct caller_limits {
    std::size_t max_header_bytes{0};
    std::size_t max_body_bytes{0};
    duration header_timeout{0};
    duration idle_timeout{0};
};

} // namespace lavenderhoist::mesh
