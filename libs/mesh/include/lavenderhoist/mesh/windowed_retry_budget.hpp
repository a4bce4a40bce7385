#pragma once

#include "lavenderhoist/core/clock.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace lavenderhoist::mesh {

/**
 * \brief Bounds the retries that this node sends to one service within a sliding window.
 *
 * The bound over all nodes is `ratio` x requests + `extra` retries in any window. Each node applies
 * the ratio to its local requests and uses its share of `extra`, so the nodes need no coordination.
 */
class windowed_retry_budget {
public:
    struct limits {
        double ratio{0};
        double extra{0}; ///< Share of this node.
        duration window{0};
    };

    /** \brief A first attempt of a caller's request for the service. */
    void on_request(time_point now, const limits& bounds);

    /** \brief Withdraws one retry. \returns false if the budget is exhausted. */
    bool try_take(time_point now, const limits& bounds);

private:
    static constexpr std::size_t bucket_count = 10;

    struct bucket {
        std::int64_t number{-1};
        int requests{0};
        int retries{0};
    };

    bucket& bucket_at(time_point now, const limits& bounds);
    std::int64_t bucket_number(time_point now, const limits& bounds) const;

    std::array<bucket, bucket_count + 1>
        buckets_{}; ///< One bucket more than a window, so that every window is covered.
};

} // namespace lavenderhoist::mesh
