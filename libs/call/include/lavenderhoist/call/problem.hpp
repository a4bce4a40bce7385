#pragma once

#include "lavenderhoist/call/call.hpp"
#include "lavenderhoist/net/message.hpp"

#include <string_view>

namespace lavenderhoist::node {

/** \brief HTTP status for a failure of the system's own. */
int status_of(errc cause) noexcept;

/**
 * \brief Renders an answer for a caller: the target's own, or problem details (RFC 9457) with step,
 * peer and outcome, and `Retry-After` where coming back helps.
 */
net::response render_for_caller(const call_answer& answer, std::string_view request_id);

/** \brief Problem details for a fault found before there was a call. */
net::response render_fault(int status, std::string_view reason);

} // namespace lavenderhoist::node
