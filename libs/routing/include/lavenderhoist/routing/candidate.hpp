#pragma once

#include "lavenderhoist/routing/target_state.hpp"

namespace lavenderhoist::routing {

/** \brief A target to which a call may be sent. */
struct candidate {
    const target_state* state{nullptr};
    int level{0};         ///< Admission level of the target: it refuses calls of lower importance.
    bool is_local{false}; ///< True if the target is in the local data centre.
    bool is_tried{false}; ///< True if an earlier attempt of the same call was sent to it.
};

} // namespace lavenderhoist::routing
