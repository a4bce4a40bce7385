#pragma once

#include <string>

namespace lavenderhoist::relay {

/** \brief Names of the header fields shared with callers and targets; lower case. */
struct wire_names {
    std::string request_id;   ///< Names one attempt of a caller; targets repeat it in answers.
    std::string time_left_ms; ///< How long the sender will wait.
    std::string signature;    ///< Marks an answer as the target's own.
    std::string target_id;    ///< The target that a request is meant for.
    std::string not_executed; ///< In an answer: the target has not run the request.
    std::string caller;       ///< The service on whose host the request began.

    /** In the id of a call, what separates the id of the request that makes it from the rest; 0 if
     * ids don't tell. */
    char parent_separator{0};
};

} // namespace lavenderhoist::relay
