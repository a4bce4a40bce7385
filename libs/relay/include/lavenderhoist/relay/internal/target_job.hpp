#pragma once

#include "lavenderhoist/quarantine/request_digests.hpp"
#include "lavenderhoist/relay/run_progress.hpp"
#include "lavenderhoist/relay/target_port.hpp"

#include <memory>
#include <optional>
#include <string>

namespace lavenderhoist::relay {

/** Retry delay for refused callers, if the admission controller gives none. */
inline constexpr duration default_retry_after = std::chrono::milliseconds(250);

/** A request that is queued for, or running on, the target. */
struct target_port::job {
    ticket id{0};
    relay_request request;
    quarantine::request_digests digests;
    done_handler done;
    std::optional<net::deadline_queue::handle> deadline;
    link_ptr link;
    std::shared_ptr<net::tcp::socket> connecting;
    std::string target_id;
    std::int64_t target_started_at_ms{0};
    time_point sent_at;
    run_progress progress;
    bool admitted{false};
    bool sent{false};
};

} // namespace lavenderhoist::relay
