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
 * \brief Streams to other nodes: one connection to each, watched for silence.
 *
 * Not thread-safe; lives on one executor.
 */
class peer_links {
public:
    using done_handler = std::function<void(relay_answer)>;
    /** \brief Withdraws a request; its handler is not called afterwards. */
    using cancel_function = std::function<void()>;

    peer_links(boost::asio::any_io_executor executor, net::deadline_queue& deadlines);
    peer_links(const peer_links&) = delete;
    peer_links& operator=(const peer_links&) = delete;
    ~peer_links();

    /** \brief Sends a request to the node at `where`; `done` is called once, possibly at once. */
    cancel_function submit(const net::tcp::endpoint& where, const std::string& peer_id,
                           const relay_request& request, done_handler done);

    /** \brief Asks the node at `where` for its load, if a connection to it is open. */
    void ask_load(const net::tcp::endpoint& where, const std::string& route,
                  std::function<void(const load_report&)> told);

    /** \brief Looks for connections that have gone silent. To be called every `watch_interval`. */
    void watch();

    static constexpr duration watch_interval = std::chrono::milliseconds(100);

    std::size_t open_connections() const noexcept { return links_.size(); }

private:
    struct link;
    struct waiter;
    using link_ptr = std::shared_ptr<link>;

    link_ptr link_to(const net::tcp::endpoint& where);
    void connect(const link_ptr& target);
    void on_connected(const link_ptr& target, net::tcp::socket socket, bool failed);
    static void send(const link_ptr& target, const std::shared_ptr<waiter>& waiting);

    boost::asio::any_io_executor executor_;
    net::deadline_queue& deadlines_;
    std::map<net::tcp::endpoint, link_ptr> links_;
    std::vector<std::shared_ptr<net::h2_client>> silent_; ///< Their streams may still end.
};

} // namespace lavenderhoist::relay
