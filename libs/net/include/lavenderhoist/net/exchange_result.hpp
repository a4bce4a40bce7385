#pragma once

#include "lavenderhoist/net/message.hpp"

#include <system_error>

namespace lavenderhoist::net {

/** \brief What became of a request that was handed to a connection. */
struct exchange_result {
    response answer;      ///< Whole if `code` is clear, else empty.
    std::error_code code; ///< Why there is no answer.
    bool never_processed{
        false}; ///< With an error: the peer proved, or it is certain, that it did not run.
};

} // namespace lavenderhoist::net
