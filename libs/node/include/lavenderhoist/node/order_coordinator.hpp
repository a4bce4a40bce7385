#pragma once

#include "lavenderhoist/cluster/gossip_service.hpp"
#include "lavenderhoist/cluster/log_follower.hpp"
#include "lavenderhoist/cluster/peer_client.hpp"
#include "lavenderhoist/cluster/record_publisher.hpp"
#include "lavenderhoist/cluster/record_relay.hpp"
#include "lavenderhoist/order_service/lease_grant.hpp"
#include "lavenderhoist/order_service/order_registry.hpp"
#include "lavenderhoist/orders/lease.hpp"
#include "lavenderhoist/serving/node_state.hpp"
#include "lavenderhoist/serving/target_worker.hpp"

#include <boost/asio/awaitable.hpp>

#include <map>
#include <optional>
#include <string>

namespace lavenderhoist::node {

/**
 * \brief The control side of the ownership of orders for the service of the own target: writes
 * assignments when the members change, keeps the lease, sends hand-overs.
 * Lives on the control thread.
 */
class order_coordinator {
public:
    /** \brief The parts of the control thread that it works with. */
    struct parts {
        node_state& state;
        peer_client& peers;
        gossip_service& gossip;
        log_follower& follower;
        record_relay& relay;
        record_publisher& publisher;
        records::record_store& store;
        target_worker& target;
    };

    order_coordinator(boost::asio::any_io_executor executor, parts used, orders::owner self);

    /** \brief Runs the three loops until the executor stops. */
    void start();

    /** \brief A record has become current. */
    void on_record(const records::located_record& fresh);

    /** \brief The own target has been announced, or is gone. */
    void on_service(const std::string& service);

    /** \brief A peer asks whether anything newer than its epoch is known here. */
    std::string answer_epoch_check(std::string_view body);

    /** \brief A peer asks for the newest epoch by a fresh read of the log. */
    boost::asio::awaitable<std::string> answer_tail_read(std::string body);

    /** \brief Clocks were found further apart than their bound: orders stop. */
    void set_clock_fault(bool is_faulty) noexcept { clock_fault_ = is_faulty; }

    /** \brief True if this process owns orders now, or still has tables to hand over. */
    bool has_duties() const;

    std::uint64_t assignments_written() const noexcept { return assignments_written_; }

private:
    boost::asio::awaitable<void> lease_loop();
    boost::asio::awaitable<void> author_loop();
    boost::asio::awaitable<void> hand_over_loop();
    boost::asio::awaitable<void> renew_lease();
    boost::asio::awaitable<std::optional<std::int64_t>> newest_epoch_by_log();
    boost::asio::awaitable<bool> confirmed_by_members(orders::assignment current);
    boost::asio::awaitable<void> write_assignment();
    boost::asio::awaitable<bool> send_hand_overs(std::int64_t epoch);

    std::optional<orders::assignment> current_assignment(const std::string& service) const;
    std::vector<orders::owner> wanted_members();
    bool is_present(const orders::owner& candidate);
    std::optional<duration> author_delay(const std::optional<orders::assignment>& current);
    std::optional<records::record> fill_in(records::record successor);
    milliseconds wait_for(const std::optional<orders::assignment>& current) const;
    bool any_was_restarted(const orders::assignment& current) const;
    bool service_has_orders() const;

    boost::asio::any_io_executor executor_;
    parts parts_;
    orders::owner self_;
    std::string service_;
    orders::lease lease_;
    std::map<std::string, time_point> quiet_until_; // by service: see wait_for()
    std::vector<orders::owner> last_wanted_;
    time_point wanted_since_{};
    std::map<std::int64_t, time_point> due_hand_overs_; // by epoch: when it was learnt
    bool clock_fault_{false};
    std::uint64_t assignments_written_{0};
};

} // namespace lavenderhoist::node
