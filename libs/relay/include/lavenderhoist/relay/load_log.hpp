#pragma once

#include "lavenderhoist/admission/window_stats.hpp"

#include <boost/json/object.hpp>

#include <optional>

namespace lavenderhoist::relay {

/**
 * \brief Aggregates the admission windows of a target into one log line a second.
 *
 * A series of these lines shows what the line of a single refusal can't: slots that stay empty
 * while requests are refused, a target that sheds by itself, a level that moves for a reason
 * elsewhere.
 */
class load_log {
public:
    /** \brief Adds a window. \returns a line's fields if a second is complete and had any work. */
    std::optional<boost::json::object> add(const admission::window_stats& window);

private:
    static constexpr int windows_per_line = 10; // of a tenth of a second

    struct sums {
        int windows{0};
        int offered{0};
        int finished{0};
        int shed{0};
        int refused{0};
        int capacity{0};
        int in_flight{0};
        int overloaded_windows{0};
        int max_waiting{0};
        duration max_wait{0};
        admission::priority min_level{admission::closed_level};
        admission::priority max_level{admission::open_level};
    };

    sums sums_;
};

} // namespace lavenderhoist::relay
