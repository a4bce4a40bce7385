#pragma once

#include "lavenderhoist/config/address.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lavenderhoist::mesh {

/** \brief Whether the target of a host takes work. */
enum class target_state : std::uint8_t {
    none,    ///< No target has announced itself yet.
    ready,   ///< Takes work.
    leaving, ///< Has said that it leaves, and still finishes what it has.
    gone,    ///< Has signed off.
};

std::string_view to_string(target_state state) noexcept;

/**
 * \brief What a node publishes about its host; the newest record of each host is kept.
 *
 * Written only when something in it changes. It outlives the node's process, so a restarted node
 * finds there which target's leave it has acknowledged.
 */
struct host_record {
    std::string id;
    std::string data_centre;
    config::address call_address; ///< Where the node takes request streams of other nodes.
    std::string service;          ///< Of the target; empty if there is none.
    std::string target_id;
    std::int64_t target_started_at_ms{0};
    int slots{0};
    target_state state{target_state::none};
    bool node_stopping{false}; ///< The node itself is about to stop.

    bool operator==(const host_record&) const = default;
};

std::string encode(const host_record& record);

/** \returns nothing if the text is no record. */
std::optional<host_record> decode_host_record(std::string_view text);

} // namespace lavenderhoist::mesh
