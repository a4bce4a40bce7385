#pragma once

#include "lavenderhoist/core/key.hpp"
#include "lavenderhoist/orders/assignment.hpp"

#include <deque>
#include <map>
#include <optional>
#include <variant>

namespace lavenderhoist::orders {

/** \brief The node may run the key's order while its lease is valid. */
struct may_run {
    std::int64_t epoch;
};

/** \brief Another node owns the key. */
struct owned_by_peer {
    std::string id;
};

/** \brief The key has moved to this node; its earlier owner may run it until `until`. */
struct pending_ownership {
    time_point until;
};

/** \brief The key was issued at or before the horizon: its order may have run elsewhere. */
struct before_horizon {
    milliseconds horizon;
};

/** \brief The key was issued in the future: the error of some clock exceeds its bound. */
struct issued_in_future {};

using ownership_verdict =
    std::variant<may_run, owned_by_peer, pending_ownership, before_horizon, issued_in_future>;

/**
 * \brief Decides whether this node may run the order of a key, from the epochs that it has read.
 *
 * A pure state machine of one service on one node. For a key that this process has owned without
 * interruption since epoch j, the node knows all executions of the key if the key was issued after
 * the node began to run orders of j (its horizon), or if the owner before j handed its table over.
 */
class ownership {
public:
    /** \brief Bounds on clocks and memory. */
    struct bounds {
        milliseconds max_clock_difference; ///< Maximum difference of two hosts' wall clocks.
        milliseconds retention;            ///< Time for which finished keys are stored.
    };

    ownership(owner self, bounds limits);

    /**
     * \brief Adds an epoch. Epochs are added in ascending order; some may be missing.
     * \param now when its record was read; \param wall_now the wall time of that moment.
     */
    void on_assignment(const assignment& next, time_point now, milliseconds wall_now);

    /**
     * \brief The owner of the keys before `epoch` has stopped and has handed its table over.
     * If the record of the epoch has not been read yet, the hand-over is stored until it is.
     * \param horizon of the sender: keys issued before it may have run elsewhere.
     */
    void on_hand_over(std::int64_t epoch, const owner& from, milliseconds horizon);

    /** \brief The key table has removed keys issued at or before `issued`. */
    void raise_horizon(milliseconds issued) noexcept;

    ownership_verdict decide(const key& order, time_point now, milliseconds wall_now) const;

    /** \brief The newest epoch, or null. */
    const assignment* current() const noexcept;

    /** \brief The assignment of an epoch, or null if it has not been read yet or was removed. */
    const assignment* find(std::int64_t epoch) const noexcept;

    /**
     * \brief The horizon that holds for every key of this owner in the epoch before `epoch`.
     * \returns nothing while some of these keys still wait for their earlier owner.
     */
    std::optional<milliseconds> horizon_to_hand_over(std::int64_t epoch, time_point now) const;

    /** \brief True if no key of this owner waits for an earlier owner any more. */
    bool is_settled(time_point now) const;

    /** \brief Maximum horizon over all keys of this owner, for operators: keys issued before it may
     * have run elsewhere. */
    milliseconds latest_horizon() const;

    const owner& self() const noexcept { return self_; }

private:
    struct epoch_state {
        assignment value;
        time_point takeover_at;        ///< When earlier owners without hand-over have stopped.
        milliseconds takeover_wall{0}; ///< The same moment on the wall clock.
        std::map<owner, milliseconds> handed_over; ///< Earlier owner and its horizon.
        bool is_after_gap{false};                  ///< The epoch before it is not known.
    };

    /** \brief When keys that moved to this owner may run, and their horizon. */
    struct start {
        time_point at;
        milliseconds horizon;
    };

    bool is_first_epoch(const epoch_state& state) const noexcept { return state.value.epoch == 1; }
    bool is_waiting_for_earlier_owner(std::size_t index, time_point now) const;
    bool has_all_hand_overs(std::size_t index) const;
    milliseconds max_horizon_of_first(std::size_t count) const;
    start start_of(const epoch_state& state, const owner* before) const;
    std::optional<start> start_for(std::uint64_t key_hash) const;

    owner self_;
    bounds limits_;
    std::deque<epoch_state> epochs_; // ascending
    std::map<std::int64_t, std::map<owner, milliseconds>>
        early_hand_overs_; // of epochs whose record has not been read
    milliseconds table_horizon_{0};
};

} // namespace lavenderhoist::orders
