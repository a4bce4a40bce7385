#pragma once

namespace lavenderhoist::relay {

/** \brief The nested calls of a request that the local target runs. */
struct run_progress {
    int calls{0};     ///< That it has made.
    int completed{0}; ///< Of these, how many have ended well.
};

} // namespace lavenderhoist::relay
