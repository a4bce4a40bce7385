#pragma once

#include "lavenderhoist/core/clock.hpp"
#include "lavenderhoist/net/endpoint.hpp"

#include <cstdint>
#include <string>

namespace lavenderhoist::relay {

/** \brief The local target: where and how many requests may be sent to it. */
struct target_settings {
    std::string id;
    std::string service;
    std::int64_t started_at_ms{0}; ///< Wall-clock time of its start: ids may be used again.
    net::tcp::endpoint where;
    int slots{1};
    int max_connections{1};
    duration cold_start_left{0}; ///< How much longer it is slow after its start; 0 if warm.
    bool is_accepting{false};    ///< New requests may be sent.

    bool operator==(const target_settings&) const = default;
};

} // namespace lavenderhoist::relay
