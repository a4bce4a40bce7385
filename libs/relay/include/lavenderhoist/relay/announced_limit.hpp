#pragma once

#include "lavenderhoist/core/clock.hpp"

#include <optional>

namespace lavenderhoist::relay {

struct target_notice;

/**
 * \brief The limit on requests per second that a target names in its answers.
 *
 * It is in force until the target answers without it. Answers arrive on many connections, so one
 * without a limit may be older than one that names it: it counts only if its request was sent after
 * the last answer that named the limit had arrived.
 *
 * A pure state machine for one start of a target.
 */
class announced_limit {
public:
    /** \brief The target has answered a request that was sent at `sent_at`. */
    void on_answer(const target_notice& notice, time_point sent_at, time_point now) noexcept;

    /** \brief Another node has heard the target name this limit. Ignored once the target has
     * answered this node. */
    void on_hint(double per_second) noexcept;

    std::optional<double> per_second() const noexcept { return per_second_; }

private:
    std::optional<double> per_second_;
    time_point named_at_;
    bool has_answered_{false};
};

} // namespace lavenderhoist::relay
