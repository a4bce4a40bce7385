#pragma once

#include "lavenderhoist/core/clock.hpp"

#include <cstdint>

namespace lavenderhoist::node {

/** \brief What the control thread tells the target's thread: orders of `epoch` may start until
 * then. */
struct lease_grant {
    std::int64_t epoch{0};
    time_point until;
};

} // namespace lavenderhoist::node
