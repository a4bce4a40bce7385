#pragma once

#include "lavenderhoist/call/call.hpp"
#include "lavenderhoist/net/cancellation.hpp"
#include "lavenderhoist/retry/credit_account.hpp"

#include <map>
#include <memory>
#include <string>

namespace lavenderhoist::node {

/** \brief A call in flight at the target; the parent of the nested calls made for it. */
struct parent_call {
    call context; ///< The parent itself; nested calls take caller, class and deadline from it.
    std::uint64_t route{0}; ///< See route_hash().
    retry::credit_account credits{0};
    net::cancellation_ptr cancelled; ///< Cancelled when the parent ends; cancels its nested calls.
};

/**
 * \brief Parent calls by the opaque `lh-context` that the target forwards with nested calls.
 *
 * The retry credits are kept here and not sent to the target: forwarding a context twice adds no
 * credits, and a nested call without its context has none.
 */
using parent_registry = std::map<std::string, std::shared_ptr<parent_call>, std::less<>>;

} // namespace lavenderhoist::node
