#pragma once

#include "lavenderhoist/core/clock.hpp"

#include <string>
#include <vector>

namespace lavenderhoist::load {

/** \brief From a moment of the run on, a stream's rate is multiplied by a factor. */
struct rate_change {
    duration at{0};
    double factor{1};
};

/** \brief A stream of requests of one kind, sent open loop: at its rate, whatever the answers. */
struct stream {
    std::string name;
    std::string method;
    std::string path;
    std::string caller;
    double rate{0};      ///< Requests a second.
    bool has_key{false}; ///< Sends an Idempotency-Key.
    int resends{0};      ///< After a failure the caller asks again at once, so often.
    duration timeout{
        std::chrono::seconds(2)};     ///< When the caller gives up; bounds goodput as well.
    std::string body;                 ///< Put into every request, after a nonce.
    std::vector<rate_change> changes; ///< In the order of time.
};

/** \brief How a request ended, from the caller's point of view. */
enum class ending : unsigned char {
    good,    ///< The whole answer, in time.
    refused, ///< Told that it did not run.
    unknown, ///< Told that it may have run.
    lost,    ///< No answer in time.
    wrong,   ///< An answer to another request, or a part of one.
};

/** \brief One request, resends included. */
struct sample {
    unsigned stream{0};
    ending end{ending::lost};
    int sends{0};
    duration sent{0};    ///< Since the start of the run.
    duration latency{0}; ///< Until the end, resends included.
    std::string key;     ///< If it had one.
    std::string reason;  ///< Title of the problem details, if it was not good.
};

} // namespace lavenderhoist::load
