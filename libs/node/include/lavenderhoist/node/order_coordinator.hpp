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
 * \brief Manages the ownership of orders for the service of the local target: writes assignments
 * when the members change, renews the lease, sends hand-overs.
 * Lives on the control thread.
 */
class order_coordinator {
public:
    /** \brief Components of the node that the coordinator uses. */
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

    order_coordinator(boost::asio::any_io_executor executor, parts components, orders::owner self);

    /** \brief Starts the loops for lease, assignments and hand-overs; they run until the executor
     * stops. */
    void start();

    /** \brief Called when a record has become current. */
    void on_record(const records::located_record& fresh);

    /** \brief Called with the service of the local target when that is announced. Ignored if empty.
     */
    void on_service(const std::string& service);

    /** \brief Serves /epoch. \returns "1" if the peer's epoch is the current one here, no newer
     * assignment is being appended by this node and the peer addressed this process; else "0". */
    std::string answer_epoch_check(std::string_view body);

    /** \brief Serves /tail: reads the log to its tail. \returns the current epoch of the service in
     * `body`, or an empty string if the log did not answer. */
    boost::asio::awaitable<std::string> answer_tail_read(std::string body);

    /** \brief While wall clocks differ by more than their bound, the lease is not renewed, so
     * orders stop. */
    void set_clock_fault(bool is_faulty) noexcept { clock_fault_ = is_faulty; }

    /** \brief True if this process is a member of the current epoch or has keys to hand over. */
    bool has_duties() const;

    std::uint64_t assignments_written() const noexcept { return assignments_written_; }

private:
    boost::asio::awaitable<void> lease_loop();
    boost::asio::awaitable<void> assignment_loop();
    boost::asio::awaitable<void> hand_over_loop();
    boost::asio::awaitable<void> renew_lease();
    boost::asio::awaitable<std::optional<std::int64_t>> read_newest_epoch();
    boost::asio::awaitable<bool> is_confirmed_by_members(orders::assignment current);
    boost::asio::awaitable<void> write_assignment();
    boost::asio::awaitable<bool> send_hand_overs(std::int64_t epoch);

    std::optional<orders::assignment> current_assignment(const std::string& service) const;
    std::vector<orders::owner> desired_members();
    bool is_present(const orders::owner& candidate);
    std::optional<duration> write_delay(const std::optional<orders::assignment>& current);
    std::optional<records::record> make_assignment(records::record successor);
    milliseconds next_takeover_delay(const std::optional<orders::assignment>& current) const;
    bool has_restarted_member(const orders::assignment& current) const;
    bool service_has_orders() const;

    boost::asio::any_io_executor executor_;
    parts parts_;
    orders::owner self_;
    std::string service_;
    orders::lease lease_;
    /** By service: end of the takeover delay of its newest epoch. */
    std::map<std::string, time_point> takeover_delay_until_;
    std::vector<orders::owner> last_desired_;
    time_point desired_since_{};
    /** By epoch: when its record was received. */
    std::map<std::int64_t, time_point> pending_hand_overs_;
    bool clock_fault_{false};
    std::uint64_t assignments_written_{0};
};

} // namespace lavenderhoist::node
