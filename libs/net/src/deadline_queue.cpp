#include "lavenderhoist/net/deadline_queue.hpp"

#include <utility>

namespace lavenderhoist::net {

deadline_queue::handle deadline_queue::add(time_point when, action expired) {
    const auto added = entries_.emplace(when, std::move(expired));
    if (when < armed_) {
        arm(when);
    }
    return added;
}

void deadline_queue::arm(time_point when) {
    armed_ = when;
    timer_.expires_at(when);
    timer_.async_wait([this](const boost::system::error_code& stopped) {
        if (!stopped) {
            expire();
        }
    });
}

void deadline_queue::expire() {
    armed_ = time_point::max();
    const auto now = runtime_clock::now();
    while (!entries_.empty() && entries_.begin()->first <= now) {
        const auto due = std::move(entries_.begin()->second);
        entries_.erase(entries_.begin());
        due();
    }
    if (!entries_.empty() && entries_.begin()->first < armed_) {
        arm(entries_.begin()->first);
    }
}

} // namespace lavenderhoist::net
