#pragma once

#include "lavenderhoist/net/cancellation.hpp"
#include "lavenderhoist/net/endpoint.hpp"
#include "lavenderhoist/net/h2_call.hpp"
#include "lavenderhoist/net/memory_charge.hpp"
#include "lavenderhoist/net/message.hpp"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>

namespace lavenderhoist::net {

/** \brief Serves HTTP/2 (cleartext, prior knowledge) to other nodes on one listener. */
class h2_server {
public:
    /** \brief Answers one request. `cancelled` fires when the peer resets the stream or is lost. */
    using handler = std::function<boost::asio::awaitable<response>(request message,
                                                                   cancellation_ptr cancelled)>;

    /** \brief Takes one request, to be answered through `call`, which may be kept. */
    using call_handler = std::function<void(request message, h2_call_ptr call)>;

    h2_server(tcp::acceptor acceptor, std::size_t max_body_bytes, call_handler handle);

    /** \brief Runs a coroutine for each request. */
    h2_server(tcp::acceptor acceptor, std::size_t max_body_bytes, handler handle);
    h2_server(const h2_server&) = delete;
    h2_server& operator=(const h2_server&) = delete;
    ~h2_server();

    /** \brief Counts the bytes held of messages. Requests that are not complete when there is no
     * memory for them are answered with `refusal`. To be called before start(). */
    void set_memory(memory_pool_ptr memory, std::function<response()> refusal);

    void start();

    /** \brief Sends GOAWAY on every connection; streams that have begun are answered. */
    void drain();

    /** \brief Closes every connection. */
    void close();

    std::size_t requests_in_flight() const noexcept;

    /** \brief Connections whose peers have not received all of their answers. */
    std::size_t undelivered_connections() const;

    std::size_t open_connections() const noexcept;

private:
    class connection;
    struct shared_state;
    std::shared_ptr<shared_state> state_;
};

} // namespace lavenderhoist::net
