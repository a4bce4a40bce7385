#pragma once

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

/** After the deadline the target's node still has to pass on the answer that came just in time. */
inline constexpr duration answer_grace = std::chrono::milliseconds(80);

/** When callers come back if no target takes their request and no node has named a time. */
inline constexpr duration refusal_wait = std::chrono::milliseconds(250);

/** A request that has entered here and is not answered yet. */
struct entry::pending {
    std::shared_ptr<net::http_session> session;
    mesh::routing_table_ptr table; ///< Keeps the route alive.
    const mesh::route* route{nullptr};
    relay_request request;
    attempt_plan plan{1, false};
    std::vector<known_target_ptr> tried;
    known_target_ptr sent_to; ///< Of the try under way.
    std::uint64_t tries{0};   ///< Tells the try under way from earlier ones.
    std::function<void()> cancel;
    std::optional<net::deadline_queue::handle> deadline;
    time_point began;
    relay_answer last_failure;
    std::optional<net::response> own_failure; ///< A target's answer that another may replace.
    bool finished{false};

    /** True if it was let in for the share that its route is guaranteed. */
    bool is_guaranteed() const noexcept {
        return admission::rank_of(request.importance) == admission::guaranteed_rank;
    }
};

/** A service as this entry knows it. */
struct entry::known_service {
    std::vector<known_target_ptr> targets;
    mesh::repeat_budget budget;
    mesh::repeat_budget failure_budget; ///< Of repeats after a target's own failure.
    std::unordered_map<std::string, time_point> wanted; ///< By route: its last request here.
};

/** The route of calls that the own target makes. */
struct entry::known_callee {
    std::string route;
    std::string service;
    time_point last_call;
};

} // namespace lavenderhoist::relay
