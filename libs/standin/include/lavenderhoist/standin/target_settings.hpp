#pragma once

#include "lavenderhoist/config/address.hpp"
#include "lavenderhoist/config/issue.hpp"

#include <chrono>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace lavenderhoist::standin {

/** \brief A call that a stub target makes while it serves requests with a path prefix. */
struct downstream_call {
    std::string prefix; ///< Path prefix of the requests for which the call is made.
    std::string method;
    std::string path; ///< `/SERVICE/PATH` of the callee.
};

/** \brief Settings of a stub target. */
struct target_settings {
    std::string id;
    std::string service;
    config::address listen;
    config::address admin;  ///< Listener on which tests set faults and read executions.
    config::address egress; ///< Egress listener of the local node.
    int slots{1};
    int connections{1};
    int queue{0}; ///< Maximum number of requests waiting for a slot; further ones are shed.
    std::chrono::milliseconds service_time{0};
    std::chrono::milliseconds cold_start{
        0}; ///< Time after the start in which requests take longer.
    std::vector<downstream_call> calls;
};

using parsed_target_settings = std::variant<target_settings, std::vector<config::issue>>;

parsed_target_settings parse_target_settings(std::string_view text, std::string_view file);

} // namespace lavenderhoist::standin
