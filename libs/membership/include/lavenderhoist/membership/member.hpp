#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace lavenderhoist::membership {

/** \brief State of a member as seen by its peers. Within one incarnation, larger values override
 * smaller. */
enum class liveness : std::uint8_t {
    alive,
    suspect, ///< Did not answer probes; still used, with lower preference.
    dead,    ///< Not refuted within the suspicion timeout; removed after a delay.
    left,    ///< Announced its departure.
};

/** \brief The target on the host of a member. */
struct target_info {
    std::string service;
    std::uint64_t generation{0}; ///< Increases with each restart of the target.
    bool draining{false};        ///< Accepts no new calls.

    bool operator==(const target_info&) const = default;
};

/** \brief Entry of a member list. */
struct member {
    std::string id;
    std::uint64_t incarnation{0}; ///< Incremented only by the member itself, with each change.
    std::uint64_t process{0}; ///< Wall time of the process's start in ms; changes with a restart.
    liveness state{liveness::alive};
    std::string data_centre;
    std::string control_address; ///< Address for control streams.
    std::string call_address;    ///< Address for request streams.
    std::optional<target_info> target;

    bool operator==(const member&) const = default;
};

/** \brief True if `next` replaces `before`: it has a later incarnation, or a larger state in the
 * same incarnation. */
bool supersedes(const member& next, const member& before) noexcept;

/** \brief True if new calls may be sent to the member's target. */
bool is_accepting_work(const member& candidate) noexcept;

} // namespace lavenderhoist::membership
