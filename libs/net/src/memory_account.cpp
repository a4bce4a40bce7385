#include "lavenderhoist/net/memory_account.hpp"

#include <algorithm>

namespace lavenderhoist::net {

memory_account::memory_account(std::size_t max_bytes) noexcept : max_bytes_(max_bytes) {}

std::size_t memory_account::max_large_bytes() const noexcept {
    return max_bytes_ / 4 * 3;
}

memory_account::holder memory_account::add() {
    holders_.emplace(++last_, state{});
    return last_;
}

void memory_account::set_bytes(state& of, std::size_t bytes) noexcept {
    const auto large_part = [](std::size_t size) { return size > min_large_bytes ? size : 0; };
    total_ += bytes - of.bytes;
    large_ += large_part(bytes) - large_part(of.bytes);
    if (of.is_retained) {
        retained_large_ += large_part(bytes) - large_part(of.bytes);
    }
    of.bytes = bytes;
}

bool memory_account::is_exceeded() const noexcept {
    return total_ > max_bytes_ || large_ > max_large_bytes();
}

std::vector<memory_account::verdict> memory_account::resize(holder who, std::size_t bytes) {
    const auto found = holders_.find(who);
    if (found == holders_.end()) {
        return {};
    }
    const bool has_grown = bytes > found->second.bytes;
    set_bytes(found->second, bytes);
    std::vector<verdict> verdicts;
    while (has_grown && is_exceeded()) {
        const auto is_smaller = [](const auto& left, const auto& right) {
            const auto refusable = [](const state& of) { return of.is_retained ? 0 : of.bytes; };
            return refusable(left.second) < refusable(right.second);
        };
        const auto largest = std::ranges::max_element(holders_, is_smaller);
        const auto held = largest->second.bytes;
        if (largest->second.is_retained || held == 0) {
            break;
        }
        const auto longest = held > min_large_bytes ? max_large_bytes() : max_bytes_;
        const auto what = held > longest ? decision::too_large : decision::refuse;
        verdicts.push_back({largest->first, what});
        set_bytes(largest->second, 0);
    }
    return verdicts;
}

void memory_account::retain(holder who) {
    const auto found = holders_.find(who);
    if (found == holders_.end() || found->second.is_retained) {
        return;
    }
    const auto bytes = found->second.bytes;
    set_bytes(found->second, 0);
    found->second.is_retained = true;
    set_bytes(found->second, bytes);
}

void memory_account::remove(holder who) {
    const auto found = holders_.find(who);
    if (found != holders_.end()) {
        set_bytes(found->second, 0);
        holders_.erase(found);
    }
}

memory_account::decision memory_account::on_announced(std::size_t bytes) const noexcept {
    if (bytes <= min_large_bytes) {
        return decision::accept;
    }
    if (bytes > max_large_bytes()) {
        return decision::too_large;
    }
    return retained_large_ + bytes > max_large_bytes() ? decision::refuse : decision::accept;
}

} // namespace lavenderhoist::net
