#pragma once

#include "lavenderhoist/call/call.hpp"
#include "lavenderhoist/net/cancellation.hpp"
#include "lavenderhoist/retry/credit_account.hpp"

#include <map>
#include <memory>
#include <string>

namespace lavenderhoist::node {

/** \brief A call that the target works on, as the parent of the calls it makes meanwhile. */
struct parent_call {
    call context;
    std::uint64_t route{0};
    retry::credit_account credits{0};
    net::cancellation_ptr cancelled; ///< Of the parent; its calls end with it.
};

/**
 * \brief The parents by the opaque context that their target forwards. The credits stay here, so a
 * target that forwards a context twice gains nothing, and one that drops it gets none.
 */
using parent_registry = std::map<std::string, std::shared_ptr<parent_call>, std::less<>>;

} // namespace lavenderhoist::node
