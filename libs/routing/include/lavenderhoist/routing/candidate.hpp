#pragma once

#include "lavenderhoist/routing/target_state.hpp"

namespace lavenderhoist::routing {

/** \brief A target that a call could be sent to. */
struct candidate {
    const target_state* state{nullptr};
    int level{0};         ///< Calls of less importance are refused there.
    bool is_local{false}; ///< In the entry's own data centre.
    bool is_tried{false}; ///< An earlier attempt of the same call went there.
};

} // namespace lavenderhoist::routing
