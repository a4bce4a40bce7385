#include "lavenderhoist/relay/load_log.hpp"

#include <algorithm>
#include <utility>

namespace lavenderhoist::relay {

std::optional<boost::json::object> load_log::add(const admission::window_figures& window) {
    ++sums_.windows;
    sums_.offered += window.offered;
    sums_.finished += window.finished;
    sums_.shed += window.shed;
    sums_.refused += window.refused;
    sums_.capacity += window.capacity;
    sums_.in_flight += window.in_flight;
    sums_.overloaded_windows += window.overloaded ? 1 : 0;
    sums_.max_waiting = std::max(sums_.max_waiting, window.waiting);
    sums_.max_wait = std::max(sums_.max_wait, window.longest_wait);
    sums_.min_level = std::min(sums_.min_level, window.level);
    sums_.max_level = std::max(sums_.max_level, window.level);
    if (sums_.windows < windows_per_line) {
        return std::nullopt;
    }
    const auto whole = std::exchange(sums_, {});
    if (whole.offered == 0 && whole.in_flight == 0) {
        return std::nullopt;
    }
    return boost::json::object{
        {"offered", whole.offered},
        {"finished", whole.finished},
        {"shed", whole.shed},
        {"refused", whole.refused},
        {"capacity", whole.capacity},
        {"limit", window.limit},
        {"learnt_limit", window.learnt_limit},
        {"mean_at_work", whole.in_flight / whole.windows},
        {"most_waiting", whole.max_waiting},
        {"longest_wait_ms", std::chrono::duration<double, std::milli>(whole.max_wait).count()},
        {"overloaded_windows", whole.overloaded_windows},
        {"lowest_level", whole.min_level},
        {"highest_level", whole.max_level}};
}

} // namespace lavenderhoist::relay
