#pragma once

#include "lavenderhoist/cluster/gossip_service.hpp"
#include "lavenderhoist/cluster/log_follower.hpp"
#include "lavenderhoist/cluster/peer_client.hpp"
#include "lavenderhoist/records/record_store.hpp"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <set>
#include <string>

namespace lavenderhoist::node {

/**
 * \brief Distributes current records to all nodes: few nodes of each data centre read the log and
 * push each record to the rest, which compare digests to repair missed records.
 * Lives on the control thread.
 */
class record_relay {
public:
    using change_handler = std::function<void(const records::located_record&)>;

    record_relay(boost::asio::any_io_executor executor, peer_client& peers, gossip_service& gossip,
                 log_follower& follower, records::record_store& store);

    /** \brief `handler` is called for every record that becomes current, read from the log or
     * received. */
    void on_change(change_handler handler);

    /** \brief Polls the log while this node is a reader of its data centre. */
    boost::asio::awaitable<void> run();

    /** \brief True if this node reads the log for its data centre. */
    bool is_reader();

    /** \brief Control address of another reader of this data centre, or empty. */
    std::string other_reader();

    /** \brief Fetches records that a peer has in newer versions, and sends it those that it lacks.
     */
    boost::asio::awaitable<void> reconcile(std::string address);

    /** \brief Answers a peer's list of versions with newer records and the topics that are missing
     * here. */
    std::string answer_pull(std::string_view body);

    /** \brief Stores records that a peer pushed. \returns false if they are malformed. */
    bool accept_push(std::string_view body);

private:
    void adopt(const records::located_record& received);
    void push_to_random_members(const records::located_record& fresh);
    boost::asio::awaitable<void> push(std::string address, std::string body);

    boost::asio::any_io_executor executor_;
    peer_client& peers_;
    gossip_service& gossip_;
    log_follower& follower_;
    records::record_store& store_;
    change_handler on_change_;
    std::set<std::string> reconciling_; // addresses
};

} // namespace lavenderhoist::node
