#pragma once

#include "lavenderhoist/admission/priority.hpp"
#include "lavenderhoist/core/clock.hpp"

#include <cstdint>

namespace lavenderhoist::admission {

/** \brief The properties of a request that admission depends on. */
struct request_info {
    std::uint64_t id{0}; ///< Unique among the requests that the controller holds.
    priority importance{0};
    bool is_nested{false}; ///< A call made for a request that a target is already working on.
    time_point deadline;
};

} // namespace lavenderhoist::admission
