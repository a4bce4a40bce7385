#pragma once

#include "lavenderhoist/core/clock.hpp"

#include <string>
#include <vector>

namespace lavenderhoist::load {

/** \brief A factor that multiplies a stream's rate from a given time of the run on. */
struct rate_change {
    duration at{0};
    double factor{1};
};

/** \brief A stream of requests of one kind, sent open loop: at its rate, independent of answers. */
struct stream {
    std::string name;
    std::string method;
    std::string path;
    std::string caller;
    double rate{0};      ///< Requests a second.
    bool has_key{false}; ///< Sends an Idempotency-Key.
    int max_retries{0};  ///< Maximum immediate retries after a failure.
    duration timeout{
        std::chrono::seconds(2)};     ///< Timeout of the caller; later answers are not goodput.
    std::string body;                 ///< Body of every request, after a nonce.
    std::vector<rate_change> changes; ///< Ordered by time.
};

/** \brief How a request ended, from the caller's point of view. */
enum class ending : unsigned char {
    good,    ///< A complete answer within the timeout.
    refused, ///< The answer states that the request did not run.
    unknown, ///< The answer leaves open whether the request ran.
    lost,    ///< No answer within the timeout.
    wrong,   ///< An answer to another request, or an incomplete one.
};

/** \brief One request, retries included. */
struct sample {
    unsigned stream{0};
    ending end{ending::lost};
    int attempts{0};
    duration sent{0};    ///< Since the start of the run.
    duration latency{0}; ///< From the first send to the end, retries included.
    std::string key;     ///< Idempotency key, if any.
    std::string reason;  ///< Title of the problem details, if it was not good.
};

} // namespace lavenderhoist::load
