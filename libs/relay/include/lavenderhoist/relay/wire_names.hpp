#pragma once

#include <string>

namespace lavenderhoist::relay {

/** \brief Names of the header fields shared with callers and targets; lower case. */
struct wire_names {
    std::string request_id;   ///< Names one attempt of a caller; targets copy it to answers.
    std::string time_left_ms; ///< How much longer the sender waits for the answer.
    std::string signature;    ///< In an answer: set if the target itself made it.
    std::string target_id;    ///< The target that a request is meant for.
    std::string not_executed; ///< In an answer: set if the target has not run the request.
    std::string caller;       ///< The service on whose host the request entered.
    std::string organisation; ///< The organisation whose key the caller has sent.
    std::string rate_limit;   ///< In an answer: requests per second that the target accepts.
    std::string leaving;      ///< In an answer: set if the target is about to stop.

    /** Separates, in the id of a nested call, the id of the request that makes the call from the
     * rest; 0 if ids of calls don't contain it. */
    char parent_separator{0};
};

} // namespace lavenderhoist::relay
