#pragma once

#include <chrono>
#include <string>

namespace lavenderhoist::config {

/** \brief A class of requests and the rules its members share. */
struct request_class {
    std::string name;
    int rank{0};                           ///< 0 is shed first, max_rank last.
    std::chrono::milliseconds deadline{0}; ///< Longest wait of a caller.
    int retry_credits{0};                  ///< Retries granted to one request over its whole chain.
    bool must_not_repeat{false};           ///< Members run at most once (orders).
};

/** \brief The largest rank a class may have. */
inline constexpr int max_rank = 7;

} // namespace lavenderhoist::config
