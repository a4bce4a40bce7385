#pragma once

#include "lavenderhoist/core/clock.hpp"
#include "lavenderhoist/net/endpoint.hpp"

#include <string>

namespace lavenderhoist::relay {

/** \brief The target beside this node, as far as work may be sent to it. */
struct target_settings {
    std::string id;
    std::string service;
    net::tcp::endpoint where;
    int slots{1};
    int max_connections{1};
    duration cold_start_left{0};
    bool is_accepting{false};

    bool operator==(const target_settings&) const = default;
};

} // namespace lavenderhoist::relay
