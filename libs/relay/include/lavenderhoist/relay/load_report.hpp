#pragma once

#include "lavenderhoist/admission/priority.hpp"
#include "lavenderhoist/core/clock.hpp"

#include <optional>

namespace lavenderhoist::relay {

/** \brief The load of a target, as its node reports it with each answer. */
struct load_report {
    int limit{0}; ///< Concurrency limit: requests sent to the target at once, at most.
    int busy{0};  ///< Requests running and queued.
    admission::priority level{admission::open_level}; ///< Requests of lower importance are refused.
    duration service_time{0};           ///< Mean time of a request in its slot; 0 if not known.
    std::optional<double> rate_limit{}; ///< Requests per second that it accepts, if limited.
    int rate_backlog{0};    ///< Requests queued, and those started ahead of the rate limit.
    bool is_leaving{false}; ///< The target has said that it is about to stop.
    duration run_time{0};   ///< Mean time of a request of the route in its slot; 0 if not known.
};

} // namespace lavenderhoist::relay
