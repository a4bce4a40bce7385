#pragma once

#include "lavenderhoist/config/address.hpp"
#include "lavenderhoist/config/issue.hpp"

#include <chrono>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace lavenderhoist::config {

/** \brief Settings of one node process, read at its start. */
struct node_settings {
    std::string id;
    std::string data_centre;
    address callers;               ///< Listener for callers.
    address egress;                ///< Listener for calls that the local target makes.
    address calls;                 ///< Listener for request streams from other nodes.
    address control;               ///< Listener for control streams from other nodes.
    address admin;                 ///< Listener for operators.
    address log;                   ///< The platform's append-only log.
    std::vector<address> contacts; ///< Control listeners of nodes to join through.
    std::string admin_token;
    std::string deployment_secret; ///< Shared by the nodes of one deployment.
    std::string log_level;
    bool policy{true}; ///< False: pass requests through without any decision (baseline).
    int entry_threads{1};
    int max_caller_connections{0};
    std::size_t max_body_bytes{0};
    std::chrono::milliseconds lease{0};        ///< Length of the lease of an owner of orders.
    std::chrono::milliseconds outage_limit{0}; ///< How long owners run orders without the log.
    std::chrono::milliseconds clock_bound{0};  ///< Largest difference of two hosts' wall clocks.
    std::chrono::milliseconds clock_offset{0}; ///< Shift of this process's wall clock, for tests.
};

using parsed_settings = std::variant<node_settings, std::vector<issue>>;

/** \brief Parses and validates the settings of a node. \param file name used in the issues. */
parsed_settings parse_node_settings(std::string_view text, std::string_view file);

} // namespace lavenderhoist::config
