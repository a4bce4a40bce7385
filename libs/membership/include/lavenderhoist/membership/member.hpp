#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace lavenderhoist::membership {

/** \brief How the others see a member. Larger values override smaller ones of one incarnation. */
enum class liveness : std::uint8_t {
    alive,
    suspect, ///< Did not answer probes; still used, less gladly.
    dead,    ///< Confirmed by timeout; removed after a while.
    left,    ///< Said goodbye.
};

/** \brief The target that a member's node stands beside. */
struct target_info {
    std::string service;
    std::uint64_t generation{0}; ///< Grows when the target restarts.
    bool draining{false};        ///< Takes no new work.

    bool operator==(const target_info&) const = default;
};

/** \brief What members know of one another. */
struct member {
    std::string id;
    std::uint64_t incarnation{
        0};                   ///< Raised only by the member itself, whenever it changes anything.
    std::uint64_t process{0}; ///< Wall time of the process's start in ms: differs after a restart.
    liveness state{liveness::alive};
    std::string data_centre;
    std::string control_address; ///< Address for control streams.
    std::string call_address;    ///< Address for request streams.
    std::optional<target_info> target;

    bool operator==(const member&) const = default;
};

/** \brief True if `next` tells more than `before`: a later incarnation, or a graver state of the
 * same. */
bool supersedes(const member& next, const member& before) noexcept;

/** \brief True if new calls may be sent to the member's target. */
bool is_accepting_work(const member& candidate) noexcept;

} // namespace lavenderhoist::membership
