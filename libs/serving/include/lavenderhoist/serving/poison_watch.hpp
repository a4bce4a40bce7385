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
 * When a target dies, all requests that it was running become suspects. A suspect that completes is
 * cleared; one that is in flight at a second death is quarantined. Suspicions and quarantines
 * expire.
 */
class poison_watch {
public:
    static constexpr duration suspicion_lifetime = std::chrono::minutes(10);
    static constexpr duration quarantine_lifetime = std::chrono::minutes(10);
    static constexpr std::size_t max_entries = 4'096;

    /**
     * \brief A target died while it ran the requests with these digests.
     * \returns the digests quarantined by this death.
     */
    std::vector<std::uint64_t> on_death(std::span<const std::uint64_t> running, time_point now);

    /** \brief Clears a suspect, as it has completed without a crash. */
    void on_completed(std::uint64_t digest);

    /** \brief Adds suspects that another node found. */
    void add_suspects(std::span<const std::uint64_t> digests, time_point now);

    /** \brief Adds quarantines that another node found. */
    void add_quarantined(std::span<const std::uint64_t> digests, time_point now);

    bool is_suspect(std::uint64_t digest, time_point now) const;
    bool is_quarantined(std::uint64_t digest, time_point now) const;

    std::size_t size() const noexcept { return suspects_.size() + quarantined_.size(); }

private:
    using expiry_map = std::map<std::uint64_t, time_point>;

    static void add(expiry_map& to, std::uint64_t digest, time_point until);
    static bool has_unexpired(const expiry_map& in, std::uint64_t digest, time_point now);

    expiry_map suspects_;
    expiry_map quarantined_;
};

} // namespace lavenderhoist::node
