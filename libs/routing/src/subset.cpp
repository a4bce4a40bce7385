#include "lavenderhoist/routing/subset.hpp"

#include "lavenderhoist/core/hash.hpp"

#include <algorithm>

namespace lavenderhoist::routing {

std::vector<std::size_t> choose_subset(std::span<const subset_member> members,
                                       std::uint64_t entry_hash, std::size_t size) {
    struct ranked {
        bool is_remote;
        std::uint64_t weight;
        std::size_t index;
    };
    std::vector<ranked> order;
    order.reserve(members.size());
    for (std::size_t i = 0; i < members.size(); ++i) {
        const auto weight = rendezvous_weight(entry_hash, members[i].id_hash);
        order.push_back({!members[i].is_local, weight, i});
    }
    std::ranges::sort(order, [](const ranked& a, const ranked& b) {
        return a.is_remote != b.is_remote ? b.is_remote : a.weight > b.weight;
    });
    std::vector<std::size_t> result;
    for (const auto& member : order) {
        if (result.size() == size) {
            break;
        }
        result.push_back(member.index);
    }
    return result;
}

} // namespace lavenderhoist::routing
