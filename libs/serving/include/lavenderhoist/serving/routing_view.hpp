#pragma once

#include "lavenderhoist/config/deployment.hpp"
#include "lavenderhoist/net/endpoint.hpp"
#include "lavenderhoist/orders/assignment.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace lavenderhoist::node {

/** \brief A target as the request path sees it. */
struct view_target {
    std::string id;
    std::uint64_t id_hash{0};
    std::uint64_t process{0};
    net::tcp::endpoint calls;  ///< Address at which its node accepts calls.
    bool is_local{false};      ///< The target is in the data centre of this node.
    bool accepts_calls{false}; ///< The target is alive and not draining.
};

/** \brief Snapshot of the deployment for the request path; immutable. */
struct routing_view {
    std::uint64_t generation{0}; ///< Differs between any two views of a process.
    std::int64_t config_version{0};
    std::shared_ptr<const config::deployment> config; ///< Null until a configuration has been read.
    std::map<std::string, std::vector<view_target>, std::less<>> targets; ///< By service.
    std::map<std::string, orders::assignment, std::less<>> assignments;   ///< By service.
};

} // namespace lavenderhoist::node
