#pragma once

#include "lavenderhoist/cluster/gossip_service.hpp"
#include "lavenderhoist/cluster/log_client.hpp"
#include "lavenderhoist/cluster/log_follower.hpp"
#include "lavenderhoist/cluster/peer_client.hpp"
#include "lavenderhoist/cluster/record_publisher.hpp"
#include "lavenderhoist/cluster/record_relay.hpp"
#include "lavenderhoist/cluster/record_renewer.hpp"
#include "lavenderhoist/net/h2_server.hpp"
#include "lavenderhoist/node/admin_api.hpp"
#include "lavenderhoist/node/order_coordinator.hpp"
#include "lavenderhoist/serving/entry_worker.hpp"
#include "lavenderhoist/serving/node_state.hpp"
#include "lavenderhoist/serving/target_worker.hpp"
#include "lavenderhoist/serving/worker.hpp"

#include <deque>
#include <functional>
#include <memory>
#include <span>
#include <vector>

namespace lavenderhoist::node {

/**
 * \brief The control thread of a node: membership, records, assignments, leases, operators' API.
 * Separate from the threads that serve requests, so that overload does not delay heartbeats.
 */
class control_worker {
public:
    control_worker(node_state& state, orders::owner self, target_worker& target,
                   std::span<const std::unique_ptr<entry_worker>> entries);
    control_worker(const control_worker&) = delete;
    control_worker& operator=(const control_worker&) = delete;
    ~control_worker();

    void start();
    void stop();

    /** \brief `handler` is called on the control thread when an operator requests a drain. */
    void on_drain_request(std::function<void()> handler) { drain_requested_ = std::move(handler); }

    // The following may be called from any thread but the control thread.

    /** \brief Announces to the other nodes that the local target accepts no new work. */
    void announce_drain();

    /** \brief True while this process owns orders or has keys to hand over. */
    bool has_order_duties();

    /** \brief Announces to the other nodes that this node has left. */
    void announce_departure();

private:
    boost::asio::awaitable<net::response> serve(net::request message);
    boost::asio::awaitable<std::string> answer(std::string path, std::string body);
    void accept_poison(std::string_view body);
    boost::asio::awaitable<void> send_poison(std::vector<std::uint64_t> suspects,
                                             std::vector<std::uint64_t> quarantined);
    void on_announcement(std::optional<announcement> announced);
    void on_record(const records::located_record& fresh);
    void on_clock_compared(const std::string& peer, milliseconds difference);
    void publish_view();
    void add_targets(routing_view& view) const;
    void add_assignments(routing_view& view) const;
    std::vector<std::string> contacts() const;

    admin_api::actions make_actions();
    boost::json::object status_json();
    boost::json::array members_json();
    boost::json::object metrics_json();
    boost::json::object configuration_json();
    boost::asio::awaitable<net::response> history();
    net::response explain(const std::string& request_id);
    boost::asio::awaitable<net::response> publish_configuration(net::request message);

    node_state& state_;
    orders::owner self_;
    target_worker& target_;
    std::span<const std::unique_ptr<entry_worker>> entries_;
    worker worker_;
    records::record_store store_;
    peer_client peers_;
    log_client log_;
    log_follower follower_;
    gossip_service gossip_;
    record_relay relay_;
    record_publisher publisher_;
    order_coordinator orders_;
    record_renewer renewer_;
    std::unique_ptr<net::h2_server> server_;
    std::unique_ptr<admin_api> admin_;
    std::function<void()> drain_requested_;
    std::shared_ptr<const config::deployment> config_;
    std::int64_t config_version_{0};
    std::uint64_t generation_{0};
    std::uint64_t served_messages_{0};
    std::uint64_t served_bytes_{0};
    static constexpr std::size_t max_clock_comparisons = 5;
    std::deque<bool> clock_comparisons_; // latest clock comparisons; true: out of bound
    bool clock_fault_{false};
};

} // namespace lavenderhoist::node
