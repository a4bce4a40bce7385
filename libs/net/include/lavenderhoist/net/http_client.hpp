#pragma once

#include "lavenderhoist/core/clock.hpp"
#include "lavenderhoist/net/cancellation.hpp"
#include "lavenderhoist/net/endpoint.hpp"
#include "lavenderhoist/net/exchange_result.hpp"

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <vector>

namespace lavenderhoist::net {

/**
 * \brief Sends HTTP/1.1 requests to one address over kept-alive connections.
 *
 * A connection whose exchange was cancelled, timed out or broke is closed and never used again.
 * Not thread-safe; lives on one executor.
 */
class http_client {
public:
    /** \brief Bounds of the client. */
    struct limits {
        std::size_t max_connections; ///< Connections open at once.
        std::size_t max_body_bytes;  ///< Larger answers are errors.
    };

    http_client(boost::asio::any_io_executor executor, tcp::endpoint server, limits bounds);
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;
    ~http_client();

    /**
     * \brief Sends `message` and reads the whole answer.
     * \param deadline when the exchange is abandoned.
     * \param cancelled stops the exchange when the caller has gone; may be null.
     * \returns the answer, or an error; `never_processed` is set if no byte was written.
     */
    boost::asio::awaitable<exchange_result> exchange(const request& message, time_point deadline,
                                                     cancellation_ptr cancelled);

    /** \brief Connections open now, idle ones included. */
    std::size_t open_connections() const noexcept;

    /** \brief Closes the idle connections. */
    void close_idle();

    /** \brief Opens connections until `count` are open or one fails. */
    boost::asio::awaitable<void> warm(std::size_t count, time_point deadline);

private:
    struct connection;
    struct shared_state;

    boost::asio::any_io_executor executor_;
    tcp::endpoint server_;
    std::shared_ptr<shared_state> state_;
};

} // namespace lavenderhoist::net
