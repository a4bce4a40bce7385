#pragma once

#include "lavenderhoist/config/address.hpp"
#include "lavenderhoist/core/clock.hpp"

#include <cstdint>
#include <string>

namespace lavenderhoist::mesh {

/** \brief Status that a target sends to its node at regular intervals. */
struct announcement {
    std::string id; ///< Name of the target; a later start may reuse it.
    std::string service;
    config::address address;
    int slots{1};                  ///< Requests that it processes concurrently.
    duration cold_left{0};         ///< Remaining time of its cold start, during which it is slow.
    std::uint64_t sequence{0};     ///< Increases with each announcement of one start.
    std::int64_t started_at_ms{0}; ///< Unix time of its start; distinguishes starts of one id.
    bool leaving{false};           ///< It accepts no new requests and will stop.
};

} // namespace lavenderhoist::mesh
