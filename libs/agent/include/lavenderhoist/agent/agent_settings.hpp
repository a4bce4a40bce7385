#pragma once

#include "lavenderhoist/config/address.hpp"
#include "lavenderhoist/config/issue.hpp"

#include <chrono>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace lavenderhoist::agent {

/** \brief Settings of lh-sidecar, read at its start and when they change. */
struct agent_settings {
    std::string id;
    std::string data_centre;
    std::string service;                   ///< Of the target beside this node.
    config::address target;                ///< Where the target takes requests.
    config::address callers;               ///< Listener for callers and for the own target's calls.
    config::address calls;                 ///< Listener for request streams of other nodes.
    config::address advertised_calls;      ///< Where other nodes reach `calls`.
    config::address control;               ///< Listener for the own target's announcements.
    config::address ready;                 ///< Listener for the question whether the node serves.
    config::address metrics;               ///< Listener for metrics.
    config::address store;                 ///< The platform's record store.
    std::vector<config::address> contacts; ///< Hosts to ask while the store is away.
    std::string log_level;
    double retry_ratio{0};   ///< Repeats of a service per request, at most.
    double extra_retries{0}; ///< Further repeats in a window, all nodes together.
    std::chrono::milliseconds retry_window{0};
    std::chrono::milliseconds grace_period{0}; ///< From SIGTERM until the process is killed.

    bool operator==(const agent_settings&) const = default;
};

using parsed_agent_settings = std::variant<agent_settings, std::vector<config::issue>>;

/** \brief Parses and validates settings. \param file name used in the issues. */
parsed_agent_settings parse_agent_settings(std::string_view text, std::string_view file);

} // namespace lavenderhoist::agent
