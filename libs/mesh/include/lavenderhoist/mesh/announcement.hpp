#pragma once

#include "lavenderhoist/config/address.hpp"
#include "lavenderhoist/core/clock.hpp"

#include <cstdint>
#include <string>

namespace lavenderhoist::mesh {

/** \brief What a target says about itself, at regular intervals. */
struct announcement {
    std::string id; ///< Name of the target; may be used again by a later start.
    std::string service;
    config::address address;
    int slots{1};                  ///< Requests that it works on at once.
    duration cold_left{0};         ///< How much longer it stays slow after its start.
    std::uint64_t sequence{0};     ///< Grows with each announcement of one start.
    std::int64_t started_at_ms{0}; ///< Unix time of its start; tells starts with one id apart.
    bool leaving{false};           ///< It takes no new work and will end.
};

} // namespace lavenderhoist::mesh
