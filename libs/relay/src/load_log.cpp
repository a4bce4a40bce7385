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
    sums_.overloaded += window.overloaded ? 1 : 0;
    sums_.most_waiting = std::max(sums_.most_waiting, window.waiting);
    sums_.longest_wait = std::max(sums_.longest_wait, window.max_wait);
    sums_.lowest_level = std::min(sums_.lowest_level, window.level);
    sums_.highest_level = std::max(sums_.highest_level, window.level);
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
        {"most_waiting", whole.most_waiting},
        {"longest_wait_ms", std::chrono::duration<double, std::milli>(whole.longest_wait).count()},
        {"overloaded_windows", whole.overloaded},
        {"lowest_level", whole.lowest_level},
        {"highest_level", whole.highest_level}};
}

} // namespace lavenderhoist::relay
