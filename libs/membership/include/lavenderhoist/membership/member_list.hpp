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
 * A pure state machine. The caller probes the member that next_probe() returns, directly and then
 * through other members, and reports the result.
 */
class member_list {
public:
    /** \brief Time constants. */
    struct timing {
        duration suspicion_timeout; ///< From suspect to dead, unless refuted.
        duration removal_delay;     ///< Until dead and departed members are removed.
    };

    member_list(member self, timing times, std::uint64_t seed);

    const member& self() const noexcept { return members_.at(self_id_).info; }

    /** \brief Updates the local entry; increments its incarnation if the target differs. */
    void update_self(const std::optional<target_info>& target);

    /** \brief Marks the local entry as departed. */
    void leave();

    /** \brief Merges entries received from a peer. \returns true if any entry changed. */
    bool merge(std::span<const member> received, time_point now);

    /** \brief The member to probe next, in rounds over all members in random order. Empty if there
     * is no other member. */
    std::string next_probe();

    /** \brief Up to `count` other live members, at random, without `excluded`. */
    std::vector<member> random_members(std::size_t count, const std::string& excluded);

    /** \brief Neither a direct nor an indirect probe was answered. */
    void on_probe_failed(const std::string& id, time_point now);

    /** \brief A probe was answered by the member itself. */
    void on_probe_answered(const std::string& id);

    /** \brief Declares suspects dead and removes dead and departed members, after their delays.
     * \returns true if any entry changed. */
    bool on_tick(time_point now);

    /** \brief A message with the changes that have not been sent often enough yet. */
    gossip_message make_message(std::int64_t wall_ms);

    /** \brief Adds the members of every part in which `peer_digest` differs from the local digest.
     */
    void add_differences(const digest& peer_digest, gossip_message& answer) const;

    /** \brief The message to a peer whose digest, after an exchange, still differs; nothing if it
     * is equal. */
    std::optional<gossip_message> make_repair(const digest& peer_digest, std::int64_t wall_ms);

    digest current_digest() const;

    /** \brief All members, departed ones included, in the order of their ids. */
    std::vector<member> all() const;

    /** \brief The entry of that id, or null. */
    const member* find(const std::string& id) const noexcept;

    std::size_t size() const noexcept { return members_.size(); }

private:
    struct entry {
        member info;
        time_point changed_at{}; ///< When the present state began.
        int transmissions{0};    ///< How often the present entry was sent.
    };

    void store(const member& info, time_point now);
    void refute(const member& claim);
    int transmission_limit() const noexcept;

    std::string self_id_;
    timing timing_;
    std::map<std::string, entry> members_;
    std::vector<std::string> probe_order_;
    std::mt19937_64 random_;
};

} // namespace lavenderhoist::membership
