#pragma once

#include "lavenderhoist/admission/priority.hpp"
#include "lavenderhoist/core/clock.hpp"
#include "lavenderhoist/net/message.hpp"
#include "lavenderhoist/relay/rate_hint.hpp"

#include <optional>
#include <string>

namespace lavenderhoist::relay {

/** \brief A request on its way from its entry to a target. */
struct relay_request {
    net::request message;  ///< Without the header fields that nodes add.
    std::string id;        ///< Names this attempt of the caller.
    std::string route;     ///< Name of its route.
    std::string service;   ///< The service that is to run it.
    std::string caller;    ///< Service on whose host it entered.
    time_point deadline;   ///< After this an answer is of no use to the caller.
    duration objective{0}; ///< Response time objective of the route.
    admission::priority importance{0};
    bool is_nested{false};  ///< A call made for a request that a target is already working on.
    bool idempotent{false}; ///< It may run more than once.
    bool is_retry{false}; ///< An attempt after one that reached a target, or a call of such a run.
    std::optional<rate_hint> target_rate{}; ///< What the entry knows of the target it is sent to.
};

} // namespace lavenderhoist::relay
