#pragma once

#include "lavenderhoist/mesh/announcement.hpp"
#include "lavenderhoist/mesh/host_record.hpp"
#include "lavenderhoist/mesh/recent_starts.hpp"
#include "lavenderhoist/mesh/target_start.hpp"

#include <optional>
#include <string>

namespace lavenderhoist::mesh {

/** \brief Effect of an announcement or a sign-off. */
enum class lifecycle_change : std::uint8_t {
    none,      ///< No change.
    outdated,  ///< Of a start that is not the current one, or older than the known state; ignored.
    refreshed, ///< Slots of the same start changed, or its cold start ended.
    started,   ///< A start that was not known yet accepts requests.
    leaving,   ///< The target has announced its departure.
    gone,      ///< The target has signed off.
};

/**
 * \brief Decides from announcements which start of the host's target may receive requests.
 *
 * A departure is final: no later or delayed announcement of the same start reverts it, also across
 * a restart of the node, which first restores the host's last record. A start with a later start
 * time replaces the current one at once. Start times are read from a clock that may jump, so that a
 * start with an earlier time replaces the current one too if it keeps announcing itself while the
 * current one is silent; until then its messages are outdated.
 */
class target_lifecycle {
public:
    /** \brief How long the current start must have been silent while another one, which seems to be
     * older, announces itself. Heartbeats come about every 1.5 s and may be delayed. */
    static constexpr duration takeover_delay = std::chrono::seconds(3);

    /** \brief Restores the state that this host published before its process was restarted. */
    void restore(const host_record& last);

    /** \brief A record of this host that was found after restore().
     * \returns the effect of the departure that it contains, if any. */
    lifecycle_change on_recorded_departure(const host_record& record);

    /** \brief An earlier process may have acknowledged departures that no record contains: no start
     * accepts requests until one has confirmed that it does. The same holds for a start that
     * replaces a departed one of its id. */
    void require_confirmation() noexcept { is_confirmed_ = false; }

    /** \brief The start that must confirm that it accepts requests; null if there is none. */
    const announcement* unconfirmed() const noexcept;

    /** \brief The target has said, when asked, that it accepts requests. \returns true if it is the
     * start that had to confirm this; later starts need no confirmation. */
    bool on_confirmed(const std::string& id, std::int64_t started_at_ms);

    lifecycle_change on_announcement(const announcement& received);

    /**
     * \brief The target signs off.
     * \param started_at_ms of the start that signs off, if the message contains it.
     */
    lifecycle_change on_sign_off(const std::string& id, std::optional<std::int64_t> started_at_ms);

    /** \brief A start has said in an answer to a request that it leaves. */
    lifecycle_change on_departure_notice(const std::string& id, std::int64_t started_at_ms);

    /** \brief The current start; null if there is none. A start that signed off before it was
     * announced has neither service nor address. */
    const announcement* current() const noexcept { return current_ ? &*current_ : nullptr; }

    /** \brief `none` while the current start is unconfirmed. */
    target_state state() const noexcept;

    /** \brief True if the target may receive new requests. */
    bool is_accepting_work() const noexcept { return state() == target_state::ready; }

private:
    /** A start that seems to be older than the current one and may have replaced it. */
    struct contender {
        target_start start;
        time_point first_heard_at;
        std::uint64_t sequence; ///< Of its last announcement.
    };

    bool is_current(const target_start& start) const;
    lifecycle_change on_current(const announcement& received);
    bool may_replace_current(const target_start& start) const;
    bool has_taken_over(const target_start& start, std::optional<std::uint64_t> sequence);
    void replace_current(const announcement& with);
    lifecycle_change adopt_departed(const target_start& start);

    std::optional<announcement> current_;
    target_state state_{target_state::none};
    bool is_confirmed_{true};
    std::int64_t restored_started_at_ms_{0}; ///< Of the last start before the restart.
    recent_starts departed_;
    recent_starts replaced_;
    std::optional<contender> contender_;
};

} // namespace lavenderhoist::mesh
