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

/** \brief A request that one node sends to another. */
struct call {
    std::string root_id; ///< Identifies the caller's request in logs and in `lhctl explain`.
    std::string service;
    std::string class_name; ///< Class of the caller's request; nested calls keep it.
    std::string caller;     ///< Name of the caller that sent the root request.
    admission::priority importance{0};
    time_point deadline;
    int depth{0};         ///< Number of enclosing calls; 0 for a caller's request.
    int credits{0};       ///< Retry credits that the receiving node may spend.
    bool is_order{false}; ///< An order; it must run at most once.
    std::optional<key>
        order_key;        ///< The caller's idempotency key or, for an order, one made by the entry.
    net::request message; ///< Its path is relative to the service.

    /**
     * \brief The importance to compare with admission levels received from other nodes.
     *
     * Levels fluctuate a little all the time. A nested call gets half a rank more, so that a small
     * rise does not discard work that a target has already begun.
     */
    admission::priority importance_for_levels() const noexcept {
        return importance + (depth > 0 ? admission::cohorts / 2 : 0);
    }
};

/** \brief The answer to a call, with its execution outcome and the load of the target. */
struct call_answer {
    net::response message;
    outcome result{outcome::unknown};
    error failure;           ///< Set unless the target itself answered.
    int level{0};            ///< Maximum admission level of the target and of its callees.
    int credits_left{0};     ///< Retry credits that the call did not spend.
    duration retry_after{0}; ///< 0: a retry does not help.
    bool from_target{false}; ///< `message` is the target's answer.

    /** \brief True if the target certainly did not execute the call. */
    bool did_not_run() const noexcept {
        return result == outcome::refused || result == outcome::not_run;
    }
};

/** \brief Makes the answer for a call that failed before a target answered. */
call_answer make_failure(outcome result, errc cause, step where, std::string peer,
                         duration retry_after = duration(0));

} // namespace lavenderhoist::node
