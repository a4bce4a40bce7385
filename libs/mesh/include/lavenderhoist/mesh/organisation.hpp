#pragma once

#include "lavenderhoist/quota/rate_quota.hpp"

#include <optional>
#include <string>
#include <vector>

namespace lavenderhoist::mesh {

/** \brief An organisation whose callers identify themselves with keys. */
struct organisation {
    std::string name;
    std::vector<std::string> keys;
    std::optional<int> rank; ///< Importance of its requests; that of their routes if unset.
    std::optional<quota::rate_quota> quota; ///< For its requests at all nodes; no limit if unset.
};

} // namespace lavenderhoist::mesh
