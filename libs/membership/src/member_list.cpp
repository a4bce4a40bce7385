#include "lavenderhoist/membership/member_list.hpp"

#include "lavenderhoist/core/hash.hpp"

#include <algorithm>
#include <bit>

namespace lavenderhoist::membership {
namespace {

constexpr std::uint64_t digest_mask = 0xffff'ffff; // shorter numbers in messages
constexpr std::size_t changes_per_message = 12;
/** Each change is sent this many times per doubling of the member count. */
constexpr int transmissions_per_doubling = 3;

std::size_t part_of(const std::string& id) {
    return stable_hash(id) % digest_parts;
}

std::uint64_t fingerprint(const member& info) {
    const auto version = info.incarnation * 4 + static_cast<std::uint64_t>(info.state);
    return mix(stable_hash(info.id) ^ mix(version)) & digest_mask;
}

bool is_present(const member& info) {
    return info.state == liveness::alive || info.state == liveness::suspect;
}

} // namespace

member_list::member_list(member self, timing times, std::uint64_t seed)
    : self_id_(self.id), timing_(times), random_(seed) {
    members_[self_id_].info = std::move(self);
}

void member_list::update_self(const std::optional<target_info>& target) {
    auto& local = members_.at(self_id_);
    if (local.info.target == target) {
        return;
    }
    local.info.target = target;
    ++local.info.incarnation;
    local.transmissions = 0;
}

void member_list::leave() {
    auto& local = members_.at(self_id_);
    local.info.state = liveness::left;
    ++local.info.incarnation;
    local.transmissions = 0;
}

void member_list::store(const member& info, time_point now) {
    auto& slot = members_[info.id];
    slot.info = info;
    slot.changed_at = now;
    slot.transmissions = 0;
}

void member_list::refute(const member& claim) {
    auto& local = members_.at(self_id_);
    if (claim.process != local.info.process && claim.incarnation < local.info.incarnation) {
        return; // claim about an earlier process of this host
    }
    const bool is_consistent = claim == local.info || !supersedes(claim, local.info);
    if (is_consistent) {
        return;
    }
    local.info.incarnation = claim.incarnation + 1;
    local.transmissions = 0;
}

bool member_list::merge(std::span<const member> received, time_point now) {
    bool changed = false;
    for (const auto& info : received) {
        if (info.id == self_id_) {
            refute(info);
            continue;
        }
        const auto found = members_.find(info.id);
        if (found == members_.end()) {
            if (is_present(info)) {
                store(info, now);
                changed = true;
            }
            continue;
        }
        if (supersedes(info, found->second.info)) {
            store(info, now);
            changed = true;
        }
    }
    return changed;
}

std::string member_list::next_probe() {
    while (!probe_order_.empty()) {
        auto id = std::move(probe_order_.back());
        probe_order_.pop_back();
        const auto* const known = find(id);
        if (known != nullptr && is_present(*known)) {
            return id;
        }
    }
    for (const auto& [id, known] : members_) {
        if (id != self_id_ && is_present(known.info)) {
            probe_order_.push_back(id);
        }
    }
    std::ranges::shuffle(probe_order_, random_);
    if (probe_order_.empty()) {
        return {};
    }
    auto id = std::move(probe_order_.back());
    probe_order_.pop_back();
    return id;
}

std::vector<member> member_list::random_members(std::size_t count, const std::string& excluded) {
    std::vector<member> present;
    for (const auto& [id, known] : members_) {
        if (id != self_id_ && id != excluded && is_present(known.info)) {
            present.push_back(known.info);
        }
    }
    std::vector<member> result;
    std::ranges::sample(present, std::back_inserter(result), static_cast<std::ptrdiff_t>(count),
                        random_);
    return result;
}

void member_list::on_probe_failed(const std::string& id, time_point now) {
    const auto found = members_.find(id);
    if (found == members_.end() || found->second.info.state != liveness::alive) {
        return;
    }
    auto suspected = found->second.info;
    suspected.state = liveness::suspect;
    store(suspected, now);
}

void member_list::on_probe_answered(const std::string& id) {
    // An answer does not clear a suspicion by itself: the member refutes it with a new incarnation,
    // which its answer contains, and which is then sent to the peers that received the suspicion.
    const auto found = members_.find(id);
    if (found != members_.end() && found->second.info.state == liveness::suspect) {
        found->second.transmissions = 0;
    }
}

bool member_list::on_tick(time_point now) {
    bool changed = false;
    for (auto& [id, known] : members_) {
        if (known.info.state != liveness::suspect ||
            now - known.changed_at < timing_.suspicion_timeout) {
            continue;
        }
        known.info.state = liveness::dead;
        known.changed_at = now;
        known.transmissions = 0;
        changed = true;
    }
    const auto removed = std::erase_if(members_, [&](const auto& item) {
        const auto& known = item.second;
        return item.first != self_id_ && !is_present(known.info) &&
               now - known.changed_at > timing_.removal_delay;
    });
    return changed || removed > 0;
}

int member_list::transmission_limit() const noexcept {
    return transmissions_per_doubling * static_cast<int>(std::bit_width(members_.size()));
}

gossip_message member_list::make_message(std::int64_t wall_ms) {
    gossip_message message;
    message.from = self_id_;
    message.wall_ms = wall_ms;
    message.member_digest = current_digest();
    // Always include the sender, so that each receiver knows it.
    message.members.push_back(self());
    std::vector<entry*> fresh;
    for (auto& [id, known] : members_) {
        if (id != self_id_ && known.transmissions < transmission_limit()) {
            fresh.push_back(&known);
        }
    }
    std::ranges::stable_sort(fresh, {}, &entry::transmissions);
    for (auto* const known : fresh) {
        if (message.members.size() == changes_per_message) {
            break;
        }
        ++known->transmissions;
        message.members.push_back(known->info);
    }
    return message;
}

void member_list::add_differences(const digest& peer_digest, gossip_message& answer) const {
    const auto local = current_digest();
    for (const auto& [id, known] : members_) {
        const auto part = part_of(id);
        if (local[part] == peer_digest[part]) {
            continue;
        }
        const bool is_in_answer =
            std::ranges::find(answer.members, id, &member::id) != answer.members.end();
        if (!is_in_answer) {
            answer.members.push_back(known.info);
        }
    }
}

std::optional<gossip_message> member_list::make_repair(const digest& peer_digest,
                                                       std::int64_t wall_ms) {
    const auto local = current_digest();
    if (local == peer_digest) {
        return std::nullopt;
    }
    gossip_message message;
    message.from = self_id_;
    message.wall_ms = wall_ms;
    message.member_digest = local;
    add_differences(peer_digest, message);
    return message;
}

digest member_list::current_digest() const {
    digest result{};
    for (const auto& [id, known] : members_) {
        // Departed members are excluded: one side may have removed them already.
        if (is_present(known.info)) {
            result[part_of(id)] ^= fingerprint(known.info);
        }
    }
    return result;
}

std::vector<member> member_list::all() const {
    std::vector<member> result;
    for (const auto& [id, known] : members_) {
        result.push_back(known.info);
    }
    return result;
}

const member* member_list::find(const std::string& id) const noexcept {
    const auto found = members_.find(id);
    return found == members_.end() ? nullptr : &found->second.info;
}

} // namespace lavenderhoist::membership
