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
        /** True to apply the ratio to the busiest of three windows: the one that ends now and those
         * that ended half a window and a whole one ago. */
        bool counts_earlier_windows{false};
    };

    /** \brief A first attempt of a caller's request for the service. */
    void on_request(time_point now, const limits& bounds);

    /** \brief A request that is itself a retry, since the run that makes it is one. It is counted
     * whatever the budget holds. */
    void on_inherited_retry(time_point now, const limits& bounds);

    /** \brief Withdraws one retry. \returns false if the budget is exhausted. */
    bool try_take(time_point now, const limits& bounds);

    /** \brief Retries per second that the budget allows for as long as requests keep their rate. */
    double sustained_rate(time_point now, const limits& bounds) const;

private:
    /** Parts of a window; even, since windows begin half a window apart. */
    static constexpr std::int64_t buckets_per_window = 10;

    /** Two windows and one bucket more, so that every window is covered. */
    static constexpr std::size_t bucket_count = 2 * buckets_per_window + 1;

    struct bucket {
        std::int64_t number{-1};
        int requests{0};
        int retries{0};
    };

    bucket& bucket_at(time_point now, const limits& bounds);
    static std::int64_t bucket_number(time_point now, const limits& bounds);
    int requests_until(std::int64_t last) const;
    int retries_until(std::int64_t last) const;
    double allowed_at(std::int64_t number, const limits& bounds) const;

    std::array<bucket, bucket_count> buckets_{};
};

} // namespace lavenderhoist::mesh
