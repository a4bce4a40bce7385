#pragma once

#include "lavenderhoist/admission/priority.hpp"
#include "lavenderhoist/core/clock.hpp"
#include "lavenderhoist/core/error.hpp"
#include "lavenderhoist/core/key.hpp"
#include "lavenderhoist/core/outcome.hpp"
#include "lavenderhoist/net/message.hpp"

#include <optional>
#include <string>

namespace lavenderhoist::node {

/** \brief A request on its way between nodes. */
struct call {
    std::string root_id; ///< Names the caller's request in logs and explanations.
    std::string service;
    std::string class_name; ///< Class of the root request.
    std::string caller;     ///< The tenant the work is done for.
    admission::priority importance{0};
    time_point deadline;
    int depth{0};         ///< 0 for a caller's own request.
    int credits{0};       ///< Retry credits that travel with the call.
    bool is_order{false}; ///< Runs at most once.
    std::optional<key> order_key;
    net::request message; ///< Path within the service.

    /**
     * \brief The importance to compare with levels heard from elsewhere. Levels move a little all
     * the time; work under way is not thrown away for that.
     */
    admission::priority importance_for_levels() const noexcept {
        return importance + (depth > 0 ? admission::cohorts / 2 : 0);
    }
};

/** \brief The answer to a call, with what it says about execution and load. */
struct call_answer {
    net::response message;
    outcome result{outcome::unknown};
    error failure; ///< Set unless the answer is the target's own.
    int level{0};  ///< Admission level of the target and all that it called.
    int credits_left{0};
    duration retry_after{0}; ///< 0: coming back does not help.
    bool from_target{false}; ///< The message is the target's answer.

    /** \brief True if the call certainly did not run. */
    bool did_not_run() const noexcept {
        return result == outcome::refused || result == outcome::not_run;
    }
};

/** \brief Makes the answer for a call that failed before a target answered. */
call_answer make_failure(outcome result, errc cause, step where, std::string peer,
                         duration retry_after = duration(0));

} // namespace lavenderhoist::node
