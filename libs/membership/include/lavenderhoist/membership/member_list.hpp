#pragma once

#include "lavenderhoist/core/clock.hpp"
#include "lavenderhoist/membership/gossip_message.hpp"
#include "lavenderhoist/membership/member.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <vector>

namespace lavenderhoist::membership {

/**
 * \brief The member list of one node: merging, failure detection and dissemination, as in SWIM
 * (Das, Gupta, Motivala, DSN 2002), with a digest exchange that repairs every difference.
 *
 * A pure state machine. The shell probes the member that next_probe() names, directly and then
 * through others, and reports the result.
 */
class member_list {
public:
    /** \brief Time constants. */
    struct timing {
        duration suspicion_timeout; ///< From suspect to dead, unless refuted.
        duration removal_delay;     ///< How long dead and departed members are remembered.
    };

    member_list(member self, timing times, std::uint64_t seed);

    const member& self() const noexcept { return members_.at(self_id_).info; }

    /** \brief Changes the own entry; raises its incarnation if anything differs. */
    void update_self(const std::optional<target_info>& target);

    /** \brief Marks the own entry as departed. */
    void leave();

    /** \brief Merges what another member said. \returns true if any entry changed. */
    bool merge(std::span<const member> heard, time_point now);

    /** \brief The member to probe next: all in a random order, then all again. Empty if alone. */
    std::string next_probe();

    /** \brief Up to `count` other live members, at random, without `excluded`. */
    std::vector<member> random_members(std::size_t count, const std::string& excluded);

    /** \brief Neither a direct nor an indirect probe was answered. */
    void on_probe_failed(const std::string& id, time_point now);

    /** \brief A probe was answered by the member itself. */
    void on_probe_answered(const std::string& id);

    /** \brief Turns suspects into dead members and forgets old ones. \returns true if any changed.
     */
    bool on_tick(time_point now);

    /** \brief A message with the changes that others may not know yet. */
    gossip_message make_message(std::int64_t wall_ms);

    /** \brief Adds the members of every part in which `theirs` differs from the own digest. */
    void add_differences(const digest& theirs, gossip_message& answer) const;

    /** \brief What to send to a member whose digest, after it has heard us, still differs. */
    std::optional<gossip_message> make_repair(const digest& theirs, std::int64_t wall_ms);

    digest current_digest() const;

    /** \brief All members, departed ones included, in the order of their ids. */
    std::vector<member> all() const;

    /** \brief The entry of that id, or null. */
    const member* find(const std::string& id) const noexcept;

    std::size_t size() const noexcept { return members_.size(); }

private:
    struct entry {
        member info;
        time_point changed{}; ///< When the present state began.
        int transmissions{0}; ///< How often the present entry was passed on.
    };

    void store(const member& info, time_point now);
    void refute(const member& rumour);
    int transmission_limit() const noexcept;

    std::string self_id_;
    timing times_;
    std::map<std::string, entry> members_;
    std::vector<std::string> probe_order_;
    std::mt19937_64 random_;
};

} // namespace lavenderhoist::membership
