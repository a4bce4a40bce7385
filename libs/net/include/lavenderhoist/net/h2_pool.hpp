#pragma once

#include "lavenderhoist/net/h2_client.hpp"

#include <map>
#include <memory>
#include <vector>

namespace lavenderhoist::net {

/** \brief Keeps one HTTP/2 connection to each peer in use. A connection on which nothing has
 * arrived by the deadline of an exchange is replaced. Not thread-safe. */
class h2_pool {
public:
    h2_pool(boost::asio::any_io_executor executor, std::size_t max_body_bytes);

    /**
     * \brief Sends a request to `peer`, connecting first if need be.
     * \param connect_timeout bounds the wait for a connection within the deadline.
     * \returns as h2_client::exchange(); a failed connection is `never_processed`.
     */
    boost::asio::awaitable<exchange_result> exchange(tcp::endpoint peer, const request& message,
                                                     time_point deadline, duration connect_timeout,
                                                     cancellation_ptr cancelled);

    /** \brief Closes connections without streams that were last used before `before`. */
    void close_idle(time_point before);

    std::size_t open_connections() const noexcept { return clients_.size(); }

private:
    struct attempt;

    boost::asio::awaitable<std::shared_ptr<h2_client>> client_for(tcp::endpoint peer,
                                                                  time_point deadline);
    void drop(const tcp::endpoint& peer, const std::shared_ptr<h2_client>& silent);

    boost::asio::any_io_executor executor_;
    std::size_t max_body_bytes_;
    std::map<tcp::endpoint, std::shared_ptr<h2_client>> clients_;
    std::map<tcp::endpoint, std::shared_ptr<attempt>> attempts_;
};

} // namespace lavenderhoist::net
