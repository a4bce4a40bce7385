#pragma once

#include "lavenderhoist/core/clock.hpp"

#include <string>
#include <vector>

namespace lavenderhoist::mesh {

/** \brief A service that a route leads to, and its share of the route's requests. */
struct destination {
    std::string service;
    int weight{1}; ///< Relative to the other destinations of the route.
};

/** \brief What operators say about the requests of one host name and path prefix. */
struct route {
    std::string name;
    std::string host;                      ///< Host name that callers give.
    std::string prefix;                    ///< Begins and ends with a slash.
    std::vector<destination> destinations; ///< One at least.
    int rank{0};            ///< Importance: admission::max_class_rank is the highest.
    int attempts{1};        ///< Targets that one request may be sent to, at most.
    duration timeout{0};    ///< How long a caller is kept waiting at most.
    duration objective{0};  ///< Answers within this time are worth most.
    bool repeatable{false}; ///< Idempotent: the request may run more than once.
};

} // namespace lavenderhoist::mesh
