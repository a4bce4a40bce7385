#include "lavenderhoist/relay/load_log.hpp"

#include <algorithm>
#include <utility>

namespace lavenderhoist::relay {

std::optional<boost::json::object> load_log::add(const admission::window_stats& window) {
    ++sums_.windows;
    sums_.offered += window.offered;
    sums_.finished += window.finished;
    sums_.shed += window.shed;
    sums_.refused += window.refused;
    sums_.capacity += window.capacity;
    sums_.in_flight += window.in_flight;
    sums_.overloaded_windows += window.overloaded ? 1 : 0;
    sums_.max_waiting = std::max(sums_.max_waiting, window.waiting);
    sums_.max_wait = std::max(sums_.max_wait, window.max_wait);
    sums_.min_level = std::min(sums_.min_level, window.level);
    sums_.max_level = std::max(sums_.max_level, window.level);
    if (sums_.windows < windows_per_line) {
        return std::nullopt;
    }
    const auto completed = std::exchange(sums_, {});
    if (completed.offered == 0 && completed.in_flight == 0) {
        return std::nullopt;
    }
    return boost::json::object{
        {"offered", completed.offered},
        {"finished", completed.finished},
        {"shed", completed.shed},
        {"refused", completed.refused},
        {"capacity", completed.capacity},
        {"limit", window.limit},
        {"learnt_limit", window.learnt_limit},
        {"mean_at_work", completed.in_flight / completed.windows},
        {"most_waiting", completed.max_waiting},
        {"longest_wait_ms", std::chrono::duration<double, std::milli>(completed.max_wait).count()},
        {"overloaded_windows", completed.overloaded_windows},
        {"lowest_level", completed.min_level},
        {"highest_level", completed.max_level}};
}

} // namespace lavenderhoist::relay
