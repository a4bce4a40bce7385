#pragma once

#include "lavenderhoist/core/clock.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace lavenderhoist::mesh {

/**
 * \brief Bounds how often this node sends requests of one service a second time.
 *
 * The bound over all nodes is `ratio` x requests + `extra` in any window. Each node keeps to the
 * ratio of its own requests and to its part of the extra, so the nodes need not talk about it.
 */
class windowed_retry_budget {
public:
    struct limits {
        double ratio{0};
        double extra{0}; ///< This node's part.
        duration window{0};
    };

    /** \brief A caller's request for the service has arrived. */
    void on_request(time_point now, const limits& bounds);

    /** \brief Takes one repeat. \returns false if the budget is used up. */
    bool try_take(time_point now, const limits& bounds);

private:
    static constexpr std::size_t parts = 10;

    struct part {
        std::int64_t number{-1};
        int requests{0};
        int repeats{0};
    };

    part& part_at(time_point now, const limits& bounds);
    std::int64_t number_of(time_point now, const limits& bounds) const;

    std::array<part, parts + 1>
        parts_{}; ///< One more than a window, so that every window is covered.
};

} // namespace lavenderhoist::mesh
