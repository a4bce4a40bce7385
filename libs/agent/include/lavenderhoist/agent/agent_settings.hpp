#pragma once

#include "lavenderhoist/config/address.hpp"
#include "lavenderhoist/config/issue.hpp"

#include <chrono>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace lavenderhoist::agent {

/** \brief Settings of lh-sidecar, read from a JSON file at its start. */
struct agent_settings {
    std::string id;
    std::string data_centre;
    std::string service;     ///< Service of the local target.
    config::address target;  ///< Listener of the local target for requests.
    config::address callers; ///< Listener for callers and for calls made by the local target.
    config::address calls;   ///< Listener for request streams from other nodes.
    config::address advertised_calls; ///< Address at which other nodes connect to `calls`.
    config::address control;          ///< Listener for announcements of the local target.
    config::address ready;            ///< Listener for the platform's readiness check.
    config::address metrics;          ///< Listener for metrics.
    config::address store;            ///< The platform's record store.
    /** Hosts queried for shared state until the record of another host is known. */
    std::vector<config::address> contacts;
    bool is_first_start{false}; ///< No process of this host has run before.
    std::string log_level;
    double retry_ratio{0};   ///< Retry budget: max. retries per request of a service.
    double extra_retries{0}; ///< Added to the budget in each window, over all nodes.
    std::chrono::milliseconds retry_window{0}; ///< Window of the retry budget.
    std::chrono::milliseconds grace_period{0}; ///< Time from SIGTERM to SIGKILL.
    double memory_mb{0};                       ///< Memory of the host, in MiB.

    bool operator==(const agent_settings&) const = default;
};

using parsed_agent_settings = std::variant<agent_settings, std::vector<config::issue>>;

/** \brief Parses and validates settings. \param file name used in the issues. */
parsed_agent_settings parse_agent_settings(std::string_view text, std::string_view file);

} // namespace lavenderhoist::agent
