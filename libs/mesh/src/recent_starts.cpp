#include "lavenderhoist/mesh/recent_starts.hpp"

#include <algorithm>
#include <utility>

namespace lavenderhoist::mesh {

void recent_starts::add(entry added) {
    entries_.push_back(std::move(added));
    if (entries_.size() > max_starts) {
        entries_.pop_front();
    }
}

void recent_starts::add(const target_start& start) {
    if (!contains(start)) {
        add(entry{start, false});
    }
}

void recent_starts::add_through(const target_start& newest) {
    add(entry{newest, true});
}

void recent_starts::remove(const target_start& start) {
    std::erase_if(entries_, [&start](const entry& each) { return each.start == start; });
}

bool recent_starts::contains(const target_start& start) const {
    return std::ranges::any_of(entries_, [&start](const entry& each) {
        const bool is_earlier = each.includes_earlier && each.start.id == start.id &&
                                start.started_at_ms < each.start.started_at_ms;
        return each.start == start || is_earlier;
    });
}

} // namespace lavenderhoist::mesh
