#pragma once

#include "lavenderhoist/admission/priority.hpp"

namespace lavenderhoist::relay {

/** \brief What a target's node says about its load with each answer. */
struct load_report {
    int limit{0}; ///< Requests that the target works on at once, as far as it is given them.
    int busy{0};  ///< Requests at work and waiting.
    admission::priority level{admission::open_level}; ///< Less important ones are refused.
};

} // namespace lavenderhoist::relay
