#pragma once

#include "lavenderhoist/core/clock.hpp"

#include <cstdint>

namespace lavenderhoist::node {

/** \brief Sent from the control thread to the target's thread: orders of `epoch` may start before
 * `until`. */
struct lease_grant {
    std::int64_t epoch{0};
    time_point until;
};

} // namespace lavenderhoist::node
