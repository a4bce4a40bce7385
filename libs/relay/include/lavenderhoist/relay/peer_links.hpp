#pragma once

#include "lavenderhoist/net/deadline_queue.hpp"
#include "lavenderhoist/net/h2_client.hpp"
#include "lavenderhoist/relay/relay_answer.hpp"
#include "lavenderhoist/relay/relay_request.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace lavenderhoist::relay {

/**
 * \brief Streams to other nodes: one connection to each, with keep-alive pings.
 *
 * Not thread-safe: all calls must be made on one executor.
 */
class peer_links {
public:
    using done_handler = std::function<void(relay_answer)>;
    /** \brief Cancels a request; its handler is not called afterwards. */
    using cancel_function = std::function<void()>;

    /** \param memory counts the bytes held of answers; may be null. */
    peer_links(boost::asio::any_io_executor executor, net::deadline_queue& deadlines,
               net::memory_pool_ptr memory = nullptr);
    peer_links(const peer_links&) = delete;
    peer_links& operator=(const peer_links&) = delete;
    ~peer_links();

    /** \brief Sends a request to the node at `where`; `done` is called once, possibly at once. */
    cancel_function submit(const net::tcp::endpoint& where, const std::string& peer_id,
                           const relay_request& request, done_handler done);

    /** \brief Requests the load report of the node at `where`. Does nothing without a connection to
     * it; `on_report` is not called without a valid answer. */
    void request_load(const net::tcp::endpoint& where, const std::string& route,
                      std::function<void(const load_report&)> on_report);

    /** \brief Pings quiet connections and takes unresponsive ones out of use. To be called every
     * `liveness_check_interval`. */
    void check_liveness();

    static constexpr duration liveness_check_interval = std::chrono::milliseconds(100);

    std::size_t open_connections() const noexcept { return links_.size(); }

private:
    struct link;
    struct outgoing_request;
    using link_ptr = std::shared_ptr<link>;

    link_ptr link_to(const net::tcp::endpoint& where);
    void connect(const link_ptr& peer);
    void on_connected(const link_ptr& peer, net::tcp::socket socket, bool failed);
    static void send(const link_ptr& peer, const std::shared_ptr<outgoing_request>& outgoing);

    boost::asio::any_io_executor executor_;
    net::deadline_queue& deadlines_;
    net::memory_pool_ptr memory_;
    std::map<net::tcp::endpoint, link_ptr> links_;
    std::vector<std::shared_ptr<net::h2_client>>
        unresponsive_; ///< Replaced; kept until their open streams end.
};

} // namespace lavenderhoist::relay
