#pragma once

#include "lavenderhoist/core/clock.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <span>
#include <vector>

namespace lavenderhoist::node {

/**
 * \brief Finds requests that crash their targets.
 *
 * When a target dies, all that it was running is suspect. A suspect that completes elsewhere is
 * cleared; one that is present at a second death is quarantined. Suspicions and quarantines expire.
 */
class poison_watch {
public:
    static constexpr duration suspicion_lifetime = std::chrono::minutes(10);
    static constexpr duration quarantine_lifetime = std::chrono::minutes(10);
    static constexpr std::size_t max_entries = 4'096;

    /** \brief A target died while it ran the requests with these digests. \returns new quarantines.
     */
    std::vector<std::uint64_t> on_death(std::span<const std::uint64_t> running, time_point now);

    /** \brief A request completed: it is innocent. */
    void on_completed(std::uint64_t digest);

    /** \brief Takes over what another node found. */
    void add_suspects(std::span<const std::uint64_t> digests, time_point now);
    void add_quarantined(std::span<const std::uint64_t> digests, time_point now);

    bool is_suspect(std::uint64_t digest, time_point now) const;
    bool is_quarantined(std::uint64_t digest, time_point now) const;

    std::size_t size() const noexcept { return suspects_.size() + quarantined_.size(); }

private:
    using expiries = std::map<std::uint64_t, time_point>;

    static void add(expiries& to, std::uint64_t digest, time_point until);
    static bool holds(const expiries& in, std::uint64_t digest, time_point now);

    expiries suspects_;
    expiries quarantined_;
};

} // namespace lavenderhoist::node
