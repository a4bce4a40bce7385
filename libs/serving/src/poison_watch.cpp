#include "lavenderhoist/serving/poison_watch.hpp"

#include <algorithm>

namespace lavenderhoist::node {

void poison_watch::add(expiry_map& to, std::uint64_t digest, time_point until) {
    if (to.size() >= max_entries && !to.contains(digest)) {
        const auto soonest =
            std::ranges::min_element(to, {}, [](const auto& item) { return item.second; });
        to.erase(soonest);
    }
    to[digest] = until;
}

bool poison_watch::has_unexpired(const expiry_map& in, std::uint64_t digest, time_point now) {
    const auto found = in.find(digest);
    return found != in.end() && now < found->second;
}

std::vector<std::uint64_t> poison_watch::on_death(std::span<const std::uint64_t> running,
                                                  time_point now) {
    std::vector<std::uint64_t> found;
    for (const auto digest : running) {
        if (is_suspect(digest, now)) {
            add(quarantined_, digest, now + quarantine_lifetime);
            suspects_.erase(digest);
            found.push_back(digest);
            continue;
        }
        add(suspects_, digest, now + suspicion_lifetime);
    }
    return found;
}

void poison_watch::on_completed(std::uint64_t digest) {
    suspects_.erase(digest);
}

void poison_watch::add_suspects(std::span<const std::uint64_t> digests, time_point now) {
    for (const auto digest : digests) {
        add(suspects_, digest, now + suspicion_lifetime);
    }
}

void poison_watch::add_quarantined(std::span<const std::uint64_t> digests, time_point now) {
    for (const auto digest : digests) {
        add(quarantined_, digest, now + quarantine_lifetime);
        suspects_.erase(digest);
    }
}

bool poison_watch::is_suspect(std::uint64_t digest, time_point now) const {
    return has_unexpired(suspects_, digest, now);
}

bool poison_watch::is_quarantined(std::uint64_t digest, time_point now) const {
    return has_unexpired(quarantined_, digest, now);
}

} // namespace lavenderhoist::node
