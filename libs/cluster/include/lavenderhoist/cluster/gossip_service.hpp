#pragma once

#include "lavenderhoist/cluster/peer_client.hpp"
#include "lavenderhoist/membership/member_list.hpp"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <vector>

namespace lavenderhoist::node {

/**
 * \brief Runs the membership protocol over control streams: probes, rumours, joining.
 * Lives on the control thread.
 */
class gossip_service {
public:
    /** \brief What the service tells and asks the rest of the control thread. */
    struct hooks {
        std::function<void()> members_changed;
        std::function<std::uint64_t()> records_digest;
        /** The peer at this address holds other records. */
        std::function<void(std::string address)> records_differ;
        /** Control addresses to join through when no member is known. */
        std::function<std::vector<std::string>()> contacts;
        /** A peer's wall clock differs from ours by this much, less what the exchange explains. */
        std::function<void(std::string peer, milliseconds difference)> clock_compared;
    };

    gossip_service(boost::asio::any_io_executor executor, peer_client& peers,
                   membership::member self, hooks callbacks, std::uint64_t seed);

    boost::asio::awaitable<void> run();

    /** \brief Sends the latest changes to several members at once instead of at the next round. */
    void spread();

    /** \brief Answers a gossip message. \returns an empty string if it is malformed. */
    std::string answer(std::string_view body);

    /** \brief Takes entries that a peer found missing here. */
    void accept_repair(std::string_view body);

    /** \brief Probes a member for another node. \returns true if it answered. */
    boost::asio::awaitable<bool> probe_for(std::string id);

    membership::member_list& members() noexcept { return members_; }
    const membership::member_list& members() const noexcept { return members_; }

private:
    boost::asio::awaitable<void> run_once();
    boost::asio::awaitable<void> probe(membership::member target);
    boost::asio::awaitable<bool> exchange(std::string address);
    boost::asio::awaitable<void> join();
    void absorb(const membership::gossip_message& heard);

    boost::asio::any_io_executor executor_;
    peer_client& peers_;
    hooks hooks_;
    membership::member_list members_;
    std::mt19937_64 random_;
    std::uint64_t rounds_{0};
};

} // namespace lavenderhoist::node
