#pragma once

#include "lavenderhoist/config/route.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace lavenderhoist::config {

/** \brief A service of the call graph, as the operator's inventory lists it. */
struct service {
    std::string name;
    int slots{0};                ///< Requests that one target runs at once.
    int connections{0};          ///< Connections that one target accepts.
    int callee_share_percent{0}; ///< Maximum share of slots held by calls to one callee.
    std::vector<route> routes;   ///< Most specific first.

    /** \brief The first route that matches. \returns null if none does. */
    const route* find_route(std::string_view method, std::string_view path) const noexcept;
};

} // namespace lavenderhoist::config
