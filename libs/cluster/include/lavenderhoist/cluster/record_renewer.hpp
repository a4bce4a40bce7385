#pragma once

#include "lavenderhoist/cluster/gossip_service.hpp"
#include "lavenderhoist/cluster/log_client.hpp"
#include "lavenderhoist/cluster/log_follower.hpp"
#include "lavenderhoist/cluster/record_publisher.hpp"
#include "lavenderhoist/cluster/record_relay.hpp"

#include <boost/asio/awaitable.hpp>

#include <vector>

namespace lavenderhoist::node {

/**
 * \brief Appends current records to the log again before its retention expires, and registers a
 * few nodes as contacts to join through. Lives on the control thread.
 */
class record_renewer {
public:
    record_renewer(boost::asio::any_io_executor executor, gossip_service& gossip, log_client& log,
                   log_follower& follower, record_relay& relay, record_publisher& publisher,
                   records::record_store& store);

    boost::asio::awaitable<void> run();

private:
    bool has_min_hash();
    std::vector<records::record_topic> topics_to_renew() const;
    bool should_register() const;
    boost::asio::awaitable<void> renew(records::record_topic topic);
    boost::asio::awaitable<void> register_contact();

    boost::asio::any_io_executor executor_;
    gossip_service& gossip_;
    log_client& log_;
    log_follower& follower_;
    record_relay& relay_;
    record_publisher& publisher_;
    records::record_store& store_;
};

} // namespace lavenderhoist::node
