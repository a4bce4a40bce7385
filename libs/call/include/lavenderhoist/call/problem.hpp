#pragma once

#include "lavenderhoist/call/call.hpp"
#include "lavenderhoist/net/message.hpp"

#include <string_view>

namespace lavenderhoist::node {

/** \brief HTTP status for a failure that was found by a node, not answered by a target. */
int status_of(errc cause) noexcept;

/**
 * \brief Renders an answer for a caller: the target's answer, or problem details (RFC 9457) with
 * step, peer and outcome; with `Retry-After` if a retry helps.
 */
net::response render_for_caller(const call_answer& answer, std::string_view request_id);

/** \brief Problem details for a request that was rejected before it became a call. */
net::response render_fault(int status, std::string_view reason);

} // namespace lavenderhoist::node
