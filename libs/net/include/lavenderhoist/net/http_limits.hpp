#pragma once

#include "lavenderhoist/core/clock.hpp"

#include <cstddef>

namespace lavenderhoist::net {

/** \brief Bounds that keep the memory and time of a caller's connection finite. */
struct http_limits {
    std::size_t max_connections{0};
    std::size_t max_header_bytes{0};
    std::size_t max_body_bytes{0};
    duration header_timeout{0}; ///< From the first byte of a request to its last.
    duration idle_timeout{0};   ///< Between two requests of a connection.
};

} // namespace lavenderhoist::net
