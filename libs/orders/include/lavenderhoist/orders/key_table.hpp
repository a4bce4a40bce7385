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

/** \brief The request that first used a key; the key is refused for any other request. */
struct order_identity {
    std::string caller;
    std::uint64_t digest{0}; ///< Of method, path and body.

    bool operator==(const order_identity&) const = default;
};

/** \brief The stored result of an order. */
struct stored_result {
    outcome result{outcome::unknown};
    int status{0};
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;
    bool has_answer{false}; ///< False: it ran, but the answer was lost or too large to store.

    bool operator==(const stored_result&) const = default;
};

/** \brief The key is new: run the order, then call complete_order() or withdraw(). */
struct new_order {};

/** \brief The order is running: wait for its result. */
struct running_order {};

/** \brief The order has ended. The pointer is valid until the next change of the table. */
struct finished_order {
    const stored_result* result;
};

/** \brief The key belongs to another order or another caller. */
struct conflicting_order {};

/** \brief The table is full of running orders. */
struct table_full {};

using table_verdict =
    std::variant<new_order, running_order, finished_order, conflicting_order, table_full>;

/**
 * \brief The running and finished orders of an owner: each key runs at most once.
 *
 * Bounded: finished keys expire after `retention`; when the table is full, the oldest finished ones
 * are evicted, and the caller raises the horizon for them (see ownership::raise_horizon).
 */
class key_table {
public:
    /** \brief Bounds on memory. */
    struct bounds {
        std::size_t max_entries;
        std::size_t max_answer_bytes; ///< Larger answers are not stored.
        std::size_t max_total_bytes;  ///< Of all stored answers.
        duration retention;
    };

    explicit key_table(bounds limits) : limits_(limits) {}

    /** \brief Looks the key up, and adds it as running if it is new. */
    table_verdict begin_order(const key& order, const order_identity& identity, time_point now);

    /** \brief The order is known not to have run: removes the key, which may then be used again. */
    void withdraw(const key& order);

    /** \brief Stores the result of an order that has ended, without the answer if that exceeds the
     * bounds. */
    void complete_order(const key& order, stored_result result, time_point now);

    /** \brief Removes keys whose retention has ended. \returns the latest issue time removed, if
     * any. */
    std::optional<milliseconds> expire(time_point now);

    /** \brief Latest issue time of the keys evicted since the last call, if any; resets it. */
    std::optional<milliseconds> take_evicted_horizon() noexcept;

    std::size_t running() const noexcept { return running_; }
    std::size_t size() const noexcept { return entries_.size(); }

    /** \brief One finished key, to hand over to its new owner. */
    struct exported {
        key order;
        order_identity identity;
        stored_result result;
    };

    /** \brief The finished keys that `selects` accepts, without running ones. */
    std::vector<exported> export_finished(const std::function<bool(const key&)>& selects) const;

    /** \brief True if `selects` accepts a running key. */
    bool has_running(const std::function<bool(const key&)>& selects) const;

    /** \brief Adds a finished key of an earlier owner. Known keys are not changed. */
    void import_finished(exported entry, time_point now);

private:
    struct entry {
        order_identity identity;
        std::optional<stored_result> result; // empty while running
        time_point ended_at{};
    };

    void store_result(entry& target, const key& order, stored_result result, time_point now);
    void evict_until_below_max();
    void drop_answer(entry& target);
    void remove_oldest();

    bounds limits_;
    std::map<key, entry> entries_;
    std::deque<key> finished_keys_; // oldest end first
    std::size_t running_{0};
    std::size_t stored_bytes_{0};
    std::optional<milliseconds> evicted_horizon_;
};

} // namespace lavenderhoist::orders
