#pragma once

#include "lavenderhoist/admission/chain_capacity.hpp"
#include "lavenderhoist/relay/attempt_plan.hpp"
#include "lavenderhoist/relay/entry.hpp"
#include "lavenderhoist/relay/known_target.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace lavenderhoist::relay {

/** Time after the deadline for the target's node to pass on an answer that came just in time. */
inline constexpr duration answer_grace = std::chrono::milliseconds(80);

/** Answers of targets from this status on say that the request has failed. */
inline constexpr int first_error_status = 500;

/** Retry delay for callers if no target takes their request and no node has given a delay. */
inline constexpr duration default_retry_after = std::chrono::milliseconds(250);

/** A caller's retry delay is at most the time left before its deadline divided by this. */
inline constexpr int retry_after_divisor = 3;

/** A request that entered at this node and is not answered yet. */
struct entry::pending {
    std::shared_ptr<net::http_session> session;
    mesh::routing_table_ptr table; ///< Keeps the route alive.
    const mesh::route* route{nullptr};
    const mesh::organisation* holder{nullptr}; ///< Of the caller's key; null for nested calls.
    relay_request request;
    std::string parent_route; ///< Of the run that makes this call; empty if it is not nested.
    attempt_plan plan{1, false};
    std::vector<known_target_ptr> tried;
    known_target_ptr sent_to;        ///< Target of the attempt in flight.
    std::uint64_t attempt_number{0}; ///< Results of earlier attempts are ignored.
    std::function<void()> cancel;
    std::optional<net::deadline_queue::handle> deadline;
    time_point started_at;
    relay_answer last_failure;
    admission::priority service_level{admission::open_level}; ///< When a target was last chosen.
    std::optional<net::response>
        failure_answer; ///< A 500 answer, delivered if no further attempt succeeds.
    bool finished{false};

    /** True if it is admitted from the guaranteed share of its route. */
    bool is_guaranteed() const noexcept {
        return admission::rank_of(request.importance) == admission::guaranteed_rank;
    }
};

/** Targets and retry budgets of a service. */
struct entry::known_service {
    std::vector<known_target_ptr> targets;
    mesh::windowed_retry_budget budget;
    mesh::windowed_retry_budget failure_budget; ///< For retries after a 500 answer.
    std::unordered_map<std::string, time_point> last_request_at; ///< By route; at this node.
};

/** A route that the local target has called. */
struct entry::known_callee {
    std::string route;
    std::string service;
    time_point last_call;
    admission::chain_capacity capacity{}; ///< For runs that call the service.
};

} // namespace lavenderhoist::relay
