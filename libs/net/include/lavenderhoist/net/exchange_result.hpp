#pragma once

#include "lavenderhoist/net/message.hpp"

#include <system_error>

namespace lavenderhoist::net {

/** \brief The outcome of sending a request on a connection. */
struct exchange_result {
    response answer;      ///< Complete if `code` is clear, else empty.
    std::error_code code; ///< Why there is no answer.
    /** With an error: the peer has proved, or it is certain locally, that the request did not
     * run. */
    bool never_processed{false};
};

} // namespace lavenderhoist::net
