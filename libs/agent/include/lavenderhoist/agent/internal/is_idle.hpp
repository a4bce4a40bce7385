#pragma once

#include "lavenderhoist/relay/data_worker.hpp"

#include <optional>

namespace lavenderhoist::agent::internal {

/** \brief True if nothing is at work. \param status of the data thread; nothing if it has not
 * answered, since a thread that is busy may have requests at work. */
inline bool is_idle(const std::optional<relay::data_status>& status) noexcept {
    return status && status->requests + status->at_target == 0;
}

/** \brief True if nothing is at work and all callers and peers have their answers. \param status as
 * above. */
inline bool has_delivered(const std::optional<relay::data_status>& status) noexcept {
    return is_idle(status) && status->closing_sessions + status->undelivered_peers == 0;
}

} // namespace lavenderhoist::agent::internal
