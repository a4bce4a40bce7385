#include "lavenderhoist/records/record_store.hpp"

#include "lavenderhoist/core/hash.hpp"

namespace lavenderhoist::records {

bool record_store::is_successor(const located_record& next,
                                const located_record& before) const noexcept {
    if (!caught_up_) {
        return next.content.version > before.content.version;
    }
    return next.content.version == before.content.version + 1 &&
           next.content.replaces == before.offset;
}

verdict record_store::apply(const located_record& read) {
    const auto& topic = read.content.topic;
    const auto found = current_.find(topic);
    if (found == current_.end()) {
        const bool is_first = read.content.version == 1 && read.content.replaces == -1;
        if (caught_up_ && !is_first) {
            return verdict::rejected;
        }
        current_.emplace(topic, read);
        return verdict::accepted;
    }
    auto& existing = found->second;
    if (read.offset == existing.offset) {
        return verdict::duplicate;
    }
    if (!is_successor(read, existing)) {
        return verdict::rejected;
    }
    existing = read;
    return verdict::accepted;
}

verdict record_store::adopt(const located_record& current) {
    const auto found = current_.find(current.content.topic);
    if (found == current_.end()) {
        current_.emplace(current.content.topic, current);
        return verdict::accepted;
    }
    auto& existing = found->second;
    if (current.offset == existing.offset) {
        return verdict::duplicate;
    }
    if (current.content.version <= existing.content.version) {
        return verdict::rejected;
    }
    existing = current;
    return verdict::accepted;
}

const located_record* record_store::current(const record_topic& topic) const noexcept {
    const auto found = current_.find(topic);
    return found == current_.end() ? nullptr : &found->second;
}

std::uint64_t record_store::digest() const noexcept {
    std::uint64_t result = 0;
    for (const auto& [topic, existing] : current_) {
        const auto topic_hash = stable_hash(topic.subject) ^ static_cast<std::uint64_t>(topic.type);
        result ^= mix(topic_hash ^ mix(static_cast<std::uint64_t>(existing.content.version)));
    }
    return result;
}

std::vector<located_record> record_store::all() const {
    std::vector<located_record> result;
    for (const auto& [topic, existing] : current_) {
        result.push_back(existing);
    }
    return result;
}

record record_store::successor(const record_topic& topic) const {
    record next;
    next.topic = topic;
    next.version = 1;
    const auto* const existing = current(topic);
    if (existing != nullptr) {
        next.version = existing->content.version + 1;
        next.replaces = existing->offset;
    }
    return next;
}

} // namespace lavenderhoist::records
