#pragma once

#include "lavenderhoist/core/clock.hpp"
#include "lavenderhoist/net/cancellation.hpp"
#include "lavenderhoist/net/endpoint.hpp"
#include "lavenderhoist/net/message.hpp"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <string>

namespace lavenderhoist::net {

/**
 * \brief Serves HTTP/1.1 on one listener, one coroutine a connection.
 *
 * Malformed, oversized and slow requests are answered with a 4xx response and the connection is
 * closed. Not thread-safe; lives on one executor.
 */
class http_server {
public:
    /** \brief Bounds that keep the memory and time of a connection finite. */
    struct limits {
        std::size_t max_connections;
        std::size_t max_header_bytes;
        std::size_t max_body_bytes;
        duration header_timeout; ///< From the first byte of a request to its last; a caller that
                                 ///< takes nothing of an answer for as long is disconnected.
        duration idle_timeout;   ///< Between two requests of a connection.
    };

    /** \brief Answers one request; `peer` is the numeric address of the caller. */
    using handler = std::function<boost::asio::awaitable<response>(
        request message, std::string peer, cancellation_ptr cancelled)>;

    /** \brief Turns a fault found before the handler could run into a response. */
    using fault_renderer = std::function<response(int status, std::string_view reason)>;

    http_server(tcp::acceptor acceptor, limits bounds, handler handle, fault_renderer render_fault);
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    ~http_server();

    /** \brief Begins to accept connections. */
    void start();

    /** \brief Accepts no more connections; each open one closes after its current request. */
    void drain();

    /** \brief Closes the connections that wait for a request, once their callers have what was
     * sent. Call some time after drain(), since a
     * request may be on its way on any of them. */
    void close_idle();

    /** \brief Requests that are being answered, and closing connections whose callers may not have
     * all of their last answer yet. */
    std::size_t requests_in_flight() const noexcept;

    std::size_t open_connections() const noexcept;

private:
    struct shared_state;
    std::shared_ptr<shared_state> state_;
};

} // namespace lavenderhoist::net
