#pragma once

#include "lavenderhoist/admission/priority.hpp"
#include "lavenderhoist/core/clock.hpp"
#include "lavenderhoist/net/message.hpp"

#include <string>

namespace lavenderhoist::relay {

/** \brief A request on its way from its entry to a target. */
struct relay_request {
    net::request message;  ///< Without the fields that nodes set themselves.
    std::string id;        ///< Of this attempt of the caller.
    std::string route;     ///< Name of its route.
    std::string service;   ///< That is to run it.
    std::string caller;    ///< Service on whose host it began.
    time_point deadline;   ///< When its answer is of no more use.
    duration objective{0}; ///< Answers within this time are worth most.
    admission::priority importance{0};
    bool is_nested{false};  ///< A call of a request that a target works on.
    bool repeatable{false}; ///< It may run more than once.
};

} // namespace lavenderhoist::relay
