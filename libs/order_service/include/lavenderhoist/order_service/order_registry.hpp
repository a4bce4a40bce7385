#pragma once

#include "lavenderhoist/call/call.hpp"
#include "lavenderhoist/net/signal.hpp"
#include "lavenderhoist/order_service/lease_grant.hpp"
#include "lavenderhoist/orders/key_table.hpp"
#include "lavenderhoist/orders/ownership.hpp"

#include <boost/asio/awaitable.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace lavenderhoist::node {

/** \brief The order may be handed to the target until the lease ends. */
struct order_may_start {
    time_point lease_until;
};

/** \brief The answer to an order that does not start now. */
struct order_answered {
    call_answer answer;
};

/** \brief The same order is already running: wait for its result with order_registry::join(). */
struct order_joined {};

using order_verdict = std::variant<order_may_start, order_answered, order_joined>;

/** \brief The finished keys that one owner hands over to another, and its horizon: keys
 * issued before it may have run without being listed. */
struct hand_over {
    std::string service;
    std::int64_t epoch{0};
    orders::owner from;
    milliseconds horizon{0};
    std::vector<orders::key_table::exported> keys;
};

/**
 * \brief Orders at their owner: ownership, lease, table of keys, and duplicates that wait for
 * the result of a running order. Lives on the target's thread.
 *
 * Not thread-safe.
 */
class order_registry {
public:
    order_registry(boost::asio::any_io_executor executor, orders::owner self,
                   orders::ownership::bounds limits, std::string node_id);

    void on_assignment(const orders::assignment& next);
    void on_lease(const lease_grant& grant) noexcept { lease_ = grant; }

    /** \brief Decides whether an order may start. If it may, its key is entered as running. */
    order_verdict begin(const call& order);

    /** \brief True if an order that was begun earlier may still start: same owner, lease in force.
     */
    bool may_still_start(const key& order) const;

    /** \brief True while orders may start. */
    bool has_lease() const;

    /** \brief True if no key is blocked by the takeover delay or a hand-over of an earlier owner.
     */
    bool is_settled() const { return ownership_.is_settled(runtime_clock::now()); }

    milliseconds latest_horizon() const { return ownership_.latest_horizon(); }

    /** \brief Removes the key of an order that certainly did not run. Joined duplicates get
     * `answer`. */
    void withdraw(const key& order, const call_answer& answer);

    /** \brief Stores the result of an order that ended, also if its outcome is unknown. Joined
     * duplicates get `answer`. */
    void end(const key& order, const call_answer& answer);

    /** \brief Waits until a running order ends, at most until the deadline of `order`. */
    boost::asio::awaitable<call_answer> join(call order);

    /** \brief Removes expired keys. */
    void on_tick();

    /**
     * \brief The keys to hand over to the new owners of an epoch, by the id of the new owner.
     * \returns nothing while an order whose key changes owner still runs, or a hand-over to this
     * process is pending; an empty map if this process owned nothing in the epoch before, or either
     * epoch is unknown.
     */
    std::optional<std::map<std::string, hand_over>> make_hand_overs(const std::string& service,
                                                                    std::int64_t epoch) const;

    void accept_hand_over(hand_over given);

    std::size_t running_orders() const noexcept { return table_.running(); }
    std::size_t stored_keys() const noexcept { return table_.size(); }
    std::int64_t epoch() const noexcept;

private:
    /** Duplicates that wait for the end of one order. */
    struct joined_duplicates {
        std::vector<std::shared_ptr<net::signal>> signals;
        std::optional<call_answer> answer;
    };

    order_verdict look_up(const call& order, bool may_enter);
    call_answer refuse(const call& order, errc cause, duration wait) const;
    void notify_joined(const key& order, const call_answer& answer);

    boost::asio::any_io_executor executor_;
    std::string node_id_;
    orders::ownership ownership_;
    orders::key_table table_;
    lease_grant lease_;
    std::map<key, std::shared_ptr<joined_duplicates>> joined_;
};

/** \brief Caller, and a digest of method, path and body: what has to match for a reused key. */
orders::order_identity identity_of(const call& order);

std::string encode(const hand_over& value);
std::optional<hand_over> decode_hand_over(std::string_view text);

} // namespace lavenderhoist::node
