#pragma once

#include "lavenderhoist/core/clock.hpp"

#include <cstdint>
#include <string_view>

namespace lavenderhoist::admission {

/**
 * \brief Concurrency limit of a target that has just started, derived from its answers.
 *
 * Begins with a share of the slots and rises with each answer, so that it follows the rate at which
 * the target answers. Response times are compared with those at the beginning of the ramp: a target
 * that is slow in its cold phase is slow at any limit, and only a growth with the limit shows that
 * it runs too many requests. The limit then falls to the number in flight that the growth implies.
 * A growth that outlasts a lower limit has another cause, such as a slow service below, and becomes
 * the new reference.
 *
 * A pure state machine. It is kept at the target's own node, whose limit is part of every load
 * report: the rise is shared by all entries without coordination.
 */
class ramp_up {
public:
    enum class phase : std::uint8_t {
        rising,  ///< The limit rises with each answer.
        holding, ///< Response times have grown: the limit rises slowly, or falls.
        done,    ///< All slots may be used.
    };

    /** \param slots of the target, at least 1. */
    explicit ramp_up(int slots) noexcept { restart(slots); }

    /** \brief Begins again for a target that has just started. */
    void restart(int slots) noexcept;

    /** \brief Ends the ramp: other rules apply to the limit from now on. */
    void finish() noexcept { phase_ = phase::done; }

    /** \brief Applies a changed number of slots. */
    void resize(int slots) noexcept;

    /** \brief The target has answered a request after `time_in_slot`, while `in_flight` requests
     * were in flight, this one included. */
    void on_answered(duration time_in_slot, int in_flight) noexcept;

    bool is_done() const noexcept { return phase_ == phase::done; }
    phase current_phase() const noexcept { return phase_; }
    double limit() const noexcept { return limit_; }

private:
    void end_round(int in_flight) noexcept;
    void decrease(double mean_time, int in_flight) noexcept;
    void accept_time(double mean_time) noexcept;
    int round_size() const noexcept;

    phase phase_{phase::rising};
    int slots_{1};
    double limit_{1};
    double reference_time_{0}; ///< Mean time in a slot that the limit does not explain; 0: unknown.
    double time_sum_{0};       ///< Of the answers in this round, in seconds.
    int answers_{0};           ///< Answers in this round.
    int ignored_answers_{0};   ///< Next answers, to requests started under a higher limit.
    int answers_at_full_limit_{0};
    double congested_time_{0};  ///< Mean time at the last decrease; 0 once its effect was judged.
    double congested_limit_{0}; ///< Limit before the last decrease.
};

std::string_view to_string(ramp_up::phase phase) noexcept;

} // namespace lavenderhoist::admission
