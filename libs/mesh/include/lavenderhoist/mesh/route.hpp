#pragma once

#include "lavenderhoist/core/clock.hpp"

#include <string>
#include <vector>

namespace lavenderhoist::mesh {

/** \brief A service that a route forwards to, and its share of the route's requests. */
struct destination {
    std::string service;
    double weight{1}; ///< Relative to the other destinations of the route; not negative.
};

/** \brief Configuration of the requests of one host name and path prefix. */
struct route {
    std::string name;
    std::string host;                      ///< Host name in the caller's request.
    std::string prefix;                    ///< Begins and ends with a slash.
    std::vector<destination> destinations; ///< Not empty.
    int rank{0};            ///< Importance: admission::max_class_rank is the highest.
    int max_attempts{1};    ///< Attempts of one request, each at another target.
    duration timeout{0};    ///< Time until the request fails if it is not answered.
    duration objective{0};  ///< Response time objective.
    bool idempotent{false}; ///< The request may be executed more than once.
    bool is_open{false};    ///< Its callers need no key.
};

} // namespace lavenderhoist::mesh
