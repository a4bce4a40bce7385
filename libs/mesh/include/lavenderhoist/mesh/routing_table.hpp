#pragma once

#include "lavenderhoist/mesh/caller_limits.hpp"
#include "lavenderhoist/mesh/organisation.hpp"
#include "lavenderhoist/mesh/route.hpp"
#include "lavenderhoist/mesh/service_rules.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace lavenderhoist::mesh {

/** \brief One version of the operators' configuration, indexed for look-ups. Immutable. */
class routing_table {
public:
    routing_table(std::uint64_t version, caller_limits limits, std::vector<route> routes,
                  std::vector<service_rules> services,
                  std::vector<organisation> organisations = {});

    std::uint64_t version() const noexcept { return version_; }
    const caller_limits& limits() const noexcept { return limits_; }

    /** \returns the route of `host` with the longest prefix of `path`, or null. */
    const route* find(std::string_view host, std::string_view path) const;

    /** \returns the rules of a service, or null. */
    const service_rules* find_service(std::string_view name) const;

    /** \brief True if callers need a key, except on open routes. */
    bool requires_keys() const noexcept { return !organisations_.empty(); }

    /** \returns the organisation that holds the key, or null. */
    const organisation* find_holder(std::string_view key) const;

    /** \returns the quota of an organisation; nothing if it has none or is not known. */
    std::optional<quota::rate_quota> find_quota(std::string_view organisation) const;

    /** \brief True if an organisation has a quota. */
    bool has_quotas() const noexcept { return !quotas_.empty(); }

    std::size_t size() const noexcept { return routes_.size(); }

private:
    using prefix_map = std::unordered_map<std::string_view, const route*>;

    std::uint64_t version_;
    caller_limits limits_;
    std::vector<route> routes_;
    std::vector<service_rules> services_;
    std::vector<organisation> organisations_;
    std::unordered_map<std::string_view, prefix_map> by_host_; ///< Views into routes_.
    std::unordered_map<std::string_view, const service_rules*> by_service_;
    std::unordered_map<std::string_view, const organisation*> by_key_;
    std::unordered_map<std::string_view, quota::rate_quota> quotas_; ///< By organisation.
};

using routing_table_ptr = std::shared_ptr<const routing_table>;

} // namespace lavenderhoist::mesh
