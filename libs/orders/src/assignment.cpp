#include "lavenderhoist/orders/assignment.hpp"

#include "lavenderhoist/core/hash.hpp"

#include <boost/json.hpp>

#include <algorithm>

namespace lavenderhoist::orders {

namespace json = boost::json;

bool assignment::contains(const owner& candidate) const noexcept {
    return std::ranges::find(members, candidate) != members.end();
}

const owner* assignment::owner_of(std::uint64_t key_hash) const noexcept {
    const owner* best = nullptr;
    std::uint64_t best_weight = 0;
    for (const auto& member : members) {
        const auto weight = rendezvous_weight(key_hash, stable_hash(member.id));
        if (best == nullptr || weight > best_weight) {
            best = &member;
            best_weight = weight;
        }
    }
    return best;
}

std::string encode_body(const assignment& value) {
    json::array members;
    for (const auto& member : value.members) {
        members.emplace_back(json::array{member.id, member.process});
    }
    return json::serialize(
        json::object{{"members", std::move(members)}, {"wait_ms", value.takeover_delay.count()}});
}

std::optional<assignment> decode_body(std::string_view body, std::int64_t epoch) {
    json::error_code failed;
    const auto parsed = json::parse(body, failed);
    if (failed || !parsed.is_object()) {
        return std::nullopt;
    }
    try {
        assignment result;
        result.epoch = epoch;
        result.takeover_delay = milliseconds(parsed.at("wait_ms").to_number<std::int64_t>());
        for (const auto& member : parsed.at("members").as_array()) {
            const auto& id = member.at(0).as_string();
            result.members.push_back(
                {{id.data(), id.size()}, member.at(1).to_number<std::uint64_t>()});
        }
        std::ranges::sort(result.members);
        return result;
    } catch (const std::exception&) {
        return std::nullopt; // a member is missing or has another type
    }
}

} // namespace lavenderhoist::orders
