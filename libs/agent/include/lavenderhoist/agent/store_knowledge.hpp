#pragma once

#include "lavenderhoist/core/clock.hpp"

namespace lavenderhoist::agent {

/**
 * \brief Until when this node is known to have all that the store had confirmed of a topic, and
 * when it must read the store itself to find out.
 *
 * A wait for records that has not been answered says nothing about what has changed. So what a node
 * knows has an age: since the last answer of the store, its own or one that a peer passes on. No
 * node relies on others for longer than `max_age`.
 *
 * A pure state machine.
 */
class store_knowledge {
public:
    /** Age at which a node reads the store. A new configuration must be in force within two
     * seconds; the rest is for that read. */
    static constexpr duration max_age = std::chrono::milliseconds(1'400);

    /** Age above which a reader of the store is passed over by the nodes that rely on it: two waits
     * of a slow store. */
    static constexpr duration max_reader_age = std::chrono::milliseconds(1'200);

    /** \brief At its start a node knows nothing; it lists the topic at once. */
    explicit store_knowledge(time_point started_at) noexcept
        : as_of_(started_at - age_of_no_knowledge), next_read_at_(started_at + max_age) {}

    /** \brief All that the store had confirmed at that moment is known. */
    void on_confirmed(time_point as_of) noexcept;

    /** \brief The node reads the store because its knowledge is too old. */
    void on_read(time_point now) noexcept;

    time_point as_of() const noexcept { return as_of_; }

    /** \brief Age of what is known, at most. */
    duration age(time_point now) const noexcept { return now - as_of_; }

    bool is_stale(time_point now) const noexcept { return age(now) >= max_age; }

    /** \brief When to read the store, unless something is confirmed before. */
    time_point next_read_at() const noexcept { return next_read_at_; }

private:
    static constexpr duration age_of_no_knowledge = std::chrono::hours(1);

    /** Backoff between reads while none is answered. */
    static constexpr duration min_backoff = std::chrono::milliseconds(800);
    static constexpr duration max_backoff = std::chrono::milliseconds(3'200);

    time_point as_of_;
    time_point next_read_at_;
    duration backoff_{min_backoff};
};

} // namespace lavenderhoist::agent
