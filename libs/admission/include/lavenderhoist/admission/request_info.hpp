#pragma once

#include "lavenderhoist/admission/priority.hpp"
#include "lavenderhoist/core/clock.hpp"

#include <cstdint>

namespace lavenderhoist::admission {

/** \brief What admission needs to know of a request. */
struct request_info {
    std::uint64_t id{0}; ///< Unique among the requests that the controller holds.
    priority importance{0};
    bool is_nested{false}; ///< A call of a request that other targets have worked on already.
    time_point deadline;
};

} // namespace lavenderhoist::admission
