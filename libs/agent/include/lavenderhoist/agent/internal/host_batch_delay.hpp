#pragma once

#include "lavenderhoist/core/clock.hpp"

#include <cstddef>

namespace lavenderhoist::agent::internal {

/**
 * \brief How long a node gathers host records before it waits for more.
 *
 * Each change of a host ends the waits of all nodes, so that the calls of a deployment grow with
 * the square of its size. The longer pause of larger ones bounds their calls per second.
 */
duration host_batch_delay(std::size_t hosts) noexcept;

} // namespace lavenderhoist::agent::internal
