#pragma once

#include "lavenderhoist/relay/target_port.hpp"

#include <memory>
#include <optional>
#include <string>

namespace lavenderhoist::relay {

/** When a refused caller may come back, if the admission controller doesn't say. */
inline constexpr duration refusal_wait = std::chrono::milliseconds(250);

/** A request that waits for, or is at, the target. */
struct target_port::job {
    ticket id{0};
    relay_request request;
    done_handler done;
    std::optional<net::deadline_queue::handle> deadline;
    link_ptr link;
    std::shared_ptr<net::tcp::socket> connecting;
    std::string target_id;
    bool admitted{false};
    bool sent{false};
};

} // namespace lavenderhoist::relay
