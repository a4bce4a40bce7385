#pragma once

#include "lavenderhoist/mesh/announcement.hpp"
#include "lavenderhoist/mesh/host_record.hpp"

#include <optional>
#include <string>

namespace lavenderhoist::mesh {

/** \brief What an announcement changed. */
enum class lifecycle_change : std::uint8_t {
    none,      ///< Nothing new.
    outdated,  ///< Older than what is known; ignored.
    refreshed, ///< Slots or cold time of the same start changed.
    started,   ///< A start that was not known yet takes work.
    leaving,   ///< The target has said that it leaves.
    gone,      ///< The target has signed off.
};

/**
 * \brief Decides from announcements which start of the host's target may get work.
 *
 * A leave binds: no later or delayed announcement of the same start takes it back, also across a
 * restart of the node, which restores the host's last record first. A newer start (by its time of
 * birth) replaces an older one; an older start's announcements are ignored.
 */
class target_lifecycle {
public:
    /** \brief Takes over what this host last published, before its process was restarted. */
    void restore(const host_record& last);

    lifecycle_change on_announcement(const announcement& heard);

    /** \brief The target signs off. \param started_at_ms of the start that signs off, if it says
     * so. */
    lifecycle_change on_sign_off(const std::string& id, std::optional<std::int64_t> started_at_ms);

    /** \brief The start that is known now; null if none has announced itself. */
    const announcement* current() const noexcept { return known_ ? &*known_ : nullptr; }

    target_state state() const noexcept { return state_; }

    /** \brief True if the target may get new work. */
    bool is_accepting_work() const noexcept { return state_ == target_state::ready; }

private:
    bool is_older(const announcement& heard) const;
    bool has_left(const announcement& heard) const;

    std::optional<announcement> known_;
    target_state state_{target_state::none};
    std::string left_id_; ///< Start whose leave binds, restored from the last record.
    std::int64_t left_born_ms_{0};
};

} // namespace lavenderhoist::mesh
