#pragma once

#include "lavenderhoist/admission/priority.hpp"
#include "lavenderhoist/core/clock.hpp"

namespace lavenderhoist::admission {

/** \brief What a controller saw in one window, for logs and metrics. */
struct window_stats {
    int offered{0};      ///< Requests that arrived.
    int finished{0};     ///< Answered in full by the target.
    int shed{0};         ///< Refused by the target itself.
    int refused{0};      ///< Refused by the controller.
    int capacity{0};     ///< Requests that the limit and the service time allow; 0: not known.
    int limit{0};        ///< Requests at once, at the end of the window.
    int learnt_limit{0}; ///< The same without the bound on the share of the slots.
    int in_flight{0};    ///< At the end of the window.
    int waiting{0};      ///< At the end of the window.
    duration max_wait;   ///< Of requests that left the queue.
    bool overloaded{false};
    priority level{open_level}; ///< In force after the window.
};

} // namespace lavenderhoist::admission
