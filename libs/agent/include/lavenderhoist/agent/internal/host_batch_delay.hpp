#pragma once

#include "lavenderhoist/core/clock.hpp"

#include <cstddef>

namespace lavenderhoist::agent::internal {

/**
 * \brief How long a node lets changes of host records accumulate before its next long poll.
 *
 * Each change of a host ends the long polls of all nodes, so the store calls of a deployment grow
 * with the square of its size. A longer delay in larger deployments bounds their calls per second.
 */
duration host_batch_delay(std::size_t hosts) noexcept;

} // namespace lavenderhoist::agent::internal
