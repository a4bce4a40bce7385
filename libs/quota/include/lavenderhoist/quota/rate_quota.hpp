#pragma once

namespace lavenderhoist::quota {

/** \brief How many requests of an organisation all nodes together may admit: a token bucket. */
struct rate_quota {
    double per_second{0};
    double burst{0}; ///< Requests beyond the rate, after a time with fewer.

    bool operator==(const rate_quota&) const = default;
};

} // namespace lavenderhoist::quota
