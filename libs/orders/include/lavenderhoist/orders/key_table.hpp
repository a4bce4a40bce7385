#pragma once

#include "lavenderhoist/core/clock.hpp"
#include "lavenderhoist/core/key.hpp"
#include "lavenderhoist/core/outcome.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace lavenderhoist::orders {

/** \brief What a key was first used for; a key used for anything else is refused. */
struct order_identity {
    std::string caller;
    std::uint64_t digest{0}; ///< Of method, path and body.

    bool operator==(const order_identity&) const = default;
};

/** \brief The kept result of an order. */
struct kept_result {
    outcome result{outcome::unknown};
    int status{0};
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;
    bool has_answer{false}; ///< False: it ran, but the answer was too large to keep, or got lost.

    bool operator==(const kept_result&) const = default;
};

/** \brief The key is new: run the order and report its end. */
struct new_order {};

/** \brief The order is running: wait for its end. */
struct running_order {};

/** \brief The order has ended. The pointer is valid until the table is next changed. */
struct finished_order {
    const kept_result* result;
};

/** \brief The key belongs to another order or another caller. */
struct conflicting_order {};

/** \brief The table holds as many running orders as it may. */
struct table_full {};

using table_verdict =
    std::variant<new_order, running_order, finished_order, conflicting_order, table_full>;

/**
 * \brief The orders that an owner has run or runs: each key runs at most once.
 *
 * Bounded: finished keys leave after `retention`, and the oldest first when there are too many;
 * what leaves early raises the horizon (see ownership::raise_horizon).
 */
class key_table {
public:
    /** \brief Bounds on memory. */
    struct bounds {
        std::size_t max_entries;
        std::size_t max_answer_bytes; ///< Larger answers are not kept.
        std::size_t max_total_bytes;  ///< Of all kept answers.
        duration retention;
    };

    explicit key_table(bounds limits) : limits_(limits) {}

    /** \brief Looks the key up, and enters it as running if it is new. */
    table_verdict begin_order(const key& order, const order_identity& identity, time_point now);

    /** \brief The order certainly did not run: the key may be used again. */
    void withdraw(const key& order);

    /** \brief The order has ended. Answers beyond the bounds are dropped, the fact is kept. */
    void complete_order(const key& order, kept_result result, time_point now);

    /** \brief Removes what is past retention. \returns the latest issue time removed, if any. */
    std::optional<milliseconds> expire(time_point now);

    /** \brief Issue time of the newest key removed for want of room, since the last call. */
    std::optional<milliseconds> take_evicted_horizon() noexcept;

    std::size_t running() const noexcept { return running_; }
    std::size_t size() const noexcept { return entries_.size(); }

    /** \brief One finished key, as it is handed over. */
    struct exported {
        key order;
        order_identity identity;
        kept_result result;
    };

    /** \brief The finished keys that `selects` accepts; running ones are left out. */
    std::vector<exported> export_finished(const std::function<bool(const key&)>& selects) const;

    /** \brief True if a running key is accepted by `selects`. */
    bool has_running(const std::function<bool(const key&)>& selects) const;

    /** \brief Enters a finished key of an earlier owner. Known keys are left alone. */
    void import_finished(exported entry, time_point now);

private:
    struct entry {
        order_identity identity;
        std::optional<kept_result> result; // empty while running
        time_point ended{};
    };

    void store_result(entry& target, const key& order, kept_result result, time_point now);
    void make_room();
    void drop_answer(entry& target);
    void remove_oldest();

    bounds limits_;
    std::map<key, entry> entries_;
    std::deque<key> finished_keys_; // oldest end first
    std::size_t running_{0};
    std::size_t kept_bytes_{0};
    std::optional<milliseconds> evicted_horizon_;
};

} // namespace lavenderhoist::orders
