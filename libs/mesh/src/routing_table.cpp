#include "lavenderhoist/mesh/routing_table.hpp"

#include <utility>

namespace lavenderhoist::mesh {

routing_table::routing_table(std::uint64_t version, caller_limits limits, std::vector<route> routes,
                             std::vector<service_rules> services,
                             std::vector<organisation> organisations)
    : version_(version),
      limits_(limits),
      routes_(std::move(routes)),
      services_(std::move(services)),
      organisations_(std::move(organisations)) {
    for (const auto& entry : routes_) {
        by_host_[entry.host].emplace(entry.prefix, &entry);
    }
    for (const auto& entry : services_) {
        by_service_.emplace(entry.name, &entry);
    }
    for (const auto& holder : organisations_) {
        for (const auto& key : holder.keys) {
            by_key_.emplace(key, &holder);
        }
        if (holder.quota) {
            quotas_.emplace(holder.name, *holder.quota);
        }
    }
}

std::optional<quota::rate_quota> routing_table::find_quota(std::string_view organisation) const {
    const auto found = quotas_.find(organisation);
    return found == quotas_.end() ? std::nullopt : std::optional(found->second);
}

const organisation* routing_table::find_holder(std::string_view key) const {
    const auto found = by_key_.find(key);
    return found == by_key_.end() ? nullptr : found->second;
}

const route* routing_table::find(std::string_view host, std::string_view path) const {
    const auto prefixes = by_host_.find(host);
    if (prefixes == by_host_.end()) {
        return nullptr;
    }
    path = path.substr(0, path.find('?'));
    // Prefixes end with a slash, so only parts of the path that end with one can match.
    for (auto end = path.rfind('/'); end != std::string_view::npos;
         end = path.rfind('/', end - 1)) {
        const auto found = prefixes->second.find(path.substr(0, end + 1));
        if (found != prefixes->second.end()) {
            return found->second;
        }
        if (end == 0) {
            break;
        }
    }
    return nullptr;
}

const service_rules* routing_table::find_service(std::string_view name) const {
    const auto found = by_service_.find(name);
    return found == by_service_.end() ? nullptr : found->second;
}

} // namespace lavenderhoist::mesh
