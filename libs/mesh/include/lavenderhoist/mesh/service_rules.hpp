#pragma once

#include <string>

namespace lavenderhoist::mesh {

/** \brief Configuration of one service. */
struct service_rules {
    std::string name;
    int max_connections{1};  ///< Connections that each target accepts, from all callers together.
    std::string health_path; ///< Where a target says whether it accepts requests; empty if nowhere.
};

} // namespace lavenderhoist::mesh
