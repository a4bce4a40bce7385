#include "lavenderhoist/agent/usage_collectors.hpp"

#include "lavenderhoist/core/hash.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace lavenderhoist::agent {

namespace {

/** For how long a node that has not responded is passed over. */
constexpr duration pass_over_time = std::chrono::seconds(3);

} // namespace

std::optional<std::string> usage_collectors::find(std::span<const mesh::host_record> hosts,
                                                  std::string_view data_centre,
                                                  time_point now) const {
    std::optional<std::pair<std::uint64_t, std::string_view>> first;
    for (const auto& host : hosts) {
        if (host.data_centre != data_centre || host.node_stopping ||
            host.state == mesh::target_state::gone) {
            continue;
        }
        const auto passed_over = passed_over_until_.find(host.id);
        if (passed_over != passed_over_until_.end() && now < passed_over->second) {
            continue;
        }
        const std::pair order(stable_hash(host.id), std::string_view(host.id));
        if (!first || order < *first) {
            first = order;
        }
    }
    return first ? std::optional(std::string(first->second)) : std::nullopt;
}

std::vector<std::string> usage_collectors::data_centres(std::span<const mesh::host_record> hosts) {
    std::set<std::string> found;
    for (const auto& host : hosts) {
        found.insert(host.data_centre);
    }
    return {found.begin(), found.end()};
}

void usage_collectors::on_no_response(const std::string& node, time_point now) {
    std::erase_if(passed_over_until_, [now](const auto& entry) { return entry.second <= now; });
    passed_over_until_[node] = now + pass_over_time;
}

} // namespace lavenderhoist::agent
