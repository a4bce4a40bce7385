#pragma once

#include <chrono>
#include <string>

namespace lavenderhoist::config {

/** \brief A class of requests and the rules they share. */
struct request_class {
    std::string name;
    int rank{0};                           ///< 0 is shed first, max_rank last.
    std::chrono::milliseconds deadline{0}; ///< Maximum time that a caller waits.
    int retry_credits{0};                  ///< Retry budget of a request over its whole call chain.
    bool must_not_repeat{false};           ///< Its requests run at most once (orders).
};

/** \brief The largest rank a class may have. */
inline constexpr int max_rank = 7;

} // namespace lavenderhoist::config
