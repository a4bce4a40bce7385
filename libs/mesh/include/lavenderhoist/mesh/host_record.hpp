#pragma once

#include "lavenderhoist/config/address.hpp"
#include "lavenderhoist/quarantine/suspicion.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lavenderhoist::mesh {

/** \brief State of the target of a host. */
enum class target_state : std::uint8_t {
    none,    ///< No target has announced itself yet.
    ready,   ///< Accepts new requests.
    leaving, ///< Has announced its departure and finishes requests in flight.
    gone,    ///< Has signed off.
};

std::string_view to_string(target_state state) noexcept;

/**
 * \brief State that a node publishes about its host; the newest record of each host is kept.
 *
 * Written only when a field changes. It outlives the node's process, so that a restarted node
 * restores from it which target's departure it has acknowledged.
 */
struct host_record {
    std::string id;
    std::string data_centre;
    config::address call_address; ///< Where the node accepts request streams of other nodes.
    std::string service;          ///< Of the target; empty if there is none.
    std::string target_id;
    std::int64_t target_started_at_ms{0};
    int slots{0};
    target_state state{target_state::none};
    bool node_stopping{false}; ///< The node itself is about to stop.
    /** Grounds of the requests that its target's ends have put into quarantine. */
    std::vector<quarantine::suspicion> quarantined;

    bool operator==(const host_record&) const = default;
};

std::string encode(const host_record& record);

/** \returns nothing if the text is not a host record. */
std::optional<host_record> decode_host_record(std::string_view text);

} // namespace lavenderhoist::mesh
