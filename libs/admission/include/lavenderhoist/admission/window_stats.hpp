#pragma once

#include "lavenderhoist/admission/priority.hpp"
#include "lavenderhoist/core/clock.hpp"

namespace lavenderhoist::admission {

/** \brief Statistics of one window of a controller, for logs and metrics. */
struct window_stats {
    int offered{0};      ///< Requests that arrived.
    int finished{0};     ///< Requests answered in full by the target.
    int shed{0};         ///< Requests shed by the target itself.
    int refused{0};      ///< Requests refused by the controller, except for an expired deadline.
    int capacity{0};     ///< Requests that the limit and the service time allow; 0: not known.
    int limit{0};        ///< Concurrency limit at the end of the window.
    int learnt_limit{0}; ///< Concurrency limit without the bound of the utilisation tuner.
    int in_flight{0};    ///< Requests in flight at the end of the window.
    int waiting{0};      ///< Queued requests at the end of the window.
    duration max_wait;   ///< Longest queueing delay of the requests that left the queue.
    bool overloaded{false};
    priority level{open_level}; ///< Admission level in force after the window.
};

} // namespace lavenderhoist::admission
