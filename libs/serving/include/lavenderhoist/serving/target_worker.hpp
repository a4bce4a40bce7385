#pragma once

#include "lavenderhoist/metrics/recorder.hpp"
#include "lavenderhoist/net/h2_server.hpp"
#include "lavenderhoist/net/http_client.hpp"
#include "lavenderhoist/net/http_server.hpp"
#include "lavenderhoist/order_service/order_registry.hpp"
#include "lavenderhoist/quarantine/crash_ledger.hpp"
#include "lavenderhoist/routing/decaying_level.hpp"
#include "lavenderhoist/serving/admission_gate.hpp"
#include "lavenderhoist/serving/announcement.hpp"
#include "lavenderhoist/serving/caller_front.hpp"
#include "lavenderhoist/serving/dispatcher.hpp"
#include "lavenderhoist/serving/node_state.hpp"
#include "lavenderhoist/serving/parent_call.hpp"
#include "lavenderhoist/serving/target_health.hpp"
#include "lavenderhoist/serving/worker.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>

namespace lavenderhoist::node {

/** \brief State of a target and its worker thread, as shown to operators. */
struct target_status {
    std::optional<announcement> target;
    int limit{0};
    int slots{0};
    int in_flight{0};
    int waiting{0};
    int level{0};
    std::size_t orders_running{0};
    std::size_t orders_kept{0};
    std::int64_t epoch{0};
    bool is_leased{false};
    /** Keys older than this, and those up to twice the clock bound younger, are not run. */
    milliseconds horizon{0};
    bool is_settled{false}; ///< True if no key waits for a hand-over by an earlier owner.
    std::size_t calls_in_flight{0};
    std::size_t undelivered_peers{0}; ///< Connections of peers that lack some of their answers.
    std::size_t egress_in_flight{0};
    std::size_t target_connections{0};
    std::map<std::string, int> callee_levels; ///< Maximum level received, by callee.
};

/**
 * \brief The thread that serves the local target: receives calls of other nodes, admits them, sends
 * them to the target, owns orders, and is the entry for the calls that the target makes.
 */
class target_worker {
public:
    /** \brief Called on the target's thread whenever the target's announcement changes. */
    using announcement_handler = std::function<void(std::optional<announcement>)>;

    target_worker(node_state& state, orders::owner self);
    target_worker(const target_worker&) = delete;
    target_worker& operator=(const target_worker&) = delete;
    ~target_worker();

    /** Precondition: not started yet. */
    void on_announcement_change(announcement_handler handler) {
        announcement_handler_ = std::move(handler);
    }

    void start();
    void stop();

    /**
     * \brief Sends GOAWAY and refuses new calls. To be called when the departure of this node has
     * reached the other nodes.
     */
    void drain();

    // The post_ functions may be called from any thread; they take effect in the order of the
    // calls.
    void post_assignment(const orders::assignment& next);
    void post_lease(const lease_grant& grant);
    void post_hand_over(hand_over given);
    void post_quarantine(std::vector<std::uint64_t> suspects,
                         std::vector<std::uint64_t> quarantined);

    /**
     * \brief Hand-overs to the new owners of `epoch`, by owner id.
     * \returns nothing while they can't be made yet; see order_registry::make_hand_overs().
     */
    std::optional<std::map<std::string, hand_over>> make_hand_overs(const std::string& service,
                                                                    std::int64_t epoch);

    target_status status();
    metrics::recorder collect();

    /** \brief Called on the target's thread with new suspects and new quarantines. */
    using poison_handler = std::function<void(std::vector<std::uint64_t> suspects,
                                              std::vector<std::uint64_t> quarantined)>;
    void on_poison(poison_handler handler) { poison_handler_ = std::move(handler); }

private:
    boost::asio::awaitable<net::response> serve_call(net::request message,
                                                     net::cancellation_ptr cancelled);
    boost::asio::awaitable<call_answer> serve_order(call request, net::cancellation_ptr cancelled);
    boost::asio::awaitable<call_answer> run(call request, std::optional<time_point> start_by,
                                            net::cancellation_ptr cancelled);
    boost::asio::awaitable<call_answer> forward(call request, std::optional<time_point> start_by,
                                                net::cancellation_ptr cancelled);
    net::request make_target_request(const call& request, const std::string& context,
                                     std::optional<time_point> start_by) const;
    std::optional<call_answer> refuse_early(const call& request);
    call_answer interpret(const call& request, net::exchange_result result);
    int level_for(const call& request);

    boost::asio::awaitable<net::response> serve_egress(net::request message,
                                                       net::cancellation_ptr cancelled);
    boost::asio::awaitable<call_answer> call_callee(std::shared_ptr<parent_call> parent,
                                                    call request, net::cancellation_ptr cancelled);
    checked_request make_child(const parent_call& parent, net::request message);
    std::shared_ptr<parent_call> find_parent(const net::request& message, time_point now);
    net::response accept_announcement(const net::request& message);
    void apply_configuration();
    void record_health(const call_answer& answer);
    void notify_health_change();
    void withdraw_target();
    void reset_target_state();
    admission_gate& callee_gate(const std::string& callee);
    bool is_leaving() const;
    boost::asio::awaitable<void> check_target_death();
    std::uint64_t next_end();
    void add_suspicions(std::span<const std::uint64_t> requests, std::uint64_t end);
    boost::asio::awaitable<void> tick_loop();

    node_state& state_;
    worker worker_;
    metrics::recorder counters_;
    caller_front front_;
    dispatcher dispatcher_;
    order_registry orders_;
    quarantine::crash_ledger crashes_;
    std::uint64_t last_end_{0}; ///< Numbers the ends of targets that are known here.
    parent_registry parents_;
    std::map<std::string, std::unique_ptr<admission_gate>> callee_gates_; // by callee
    // Admission levels of callees, by the route hash of the parent, then by callee.
    std::unordered_map<std::uint64_t, std::map<std::string, routing::decaying_level>>
        downstream_levels_;
    std::map<std::string, std::uint64_t> running_digests_; // requests at the target, by context
    std::vector<std::uint64_t>
        lost_digests_; // requests whose connection to the target failed since the last tick
    std::shared_ptr<admission_gate> gate_;
    std::unique_ptr<net::http_client> target_;
    std::unique_ptr<net::h2_server> calls_;
    std::unique_ptr<net::http_server> egress_;
    std::optional<announcement> announced_;
    time_point last_announcement_at_{};
    std::uint64_t applied_generation_{0};
    target_health health_;
    bool notified_healthy_{true}; // last health passed to announcement_handler_
    time_point drain_announced_at_{};
    int callee_slots_{0};
    int slots_{0};
    bool draining_{false};
    bool target_is_down_{false};
    announcement_handler announcement_handler_;
    poison_handler poison_handler_;
};

} // namespace lavenderhoist::node
