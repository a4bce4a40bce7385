#pragma once

#include "lavenderhoist/config/address.hpp"
#include "lavenderhoist/net/endpoint.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <memory>
#include <set>

namespace lavenderhoist::platform_test {

/** \brief What a fault_proxy does with the bytes of its connections. */
enum class proxy_mode : std::uint8_t {
    pass,
    delay,         ///< Bytes are forwarded after a delay.
    drop_answers,  ///< Bytes to the server pass, bytes from the server are dropped.
    drop_requests, ///< Bytes from the server pass, bytes to the server are dropped.
    silent,        ///< No bytes pass; new connections are accepted.
    endless,       ///< An answer of the server is replaced by a head and an endless body.
    endless_head,  ///< An answer of the server is replaced by a head without end.
};

/** \brief Forwards TCP connections to a server on loopback and injects faults. Single-threaded: all
 * functions are called on the thread of its executor. */
class fault_proxy {
public:
    fault_proxy(boost::asio::io_context& context, const config::address& listen,
                const config::address& server);

    void start();
    void set_mode(proxy_mode mode) noexcept { mode_ = mode; }

    /** \brief Resets every open connection. */
    void reset_all();

    /** \brief From now on no byte passes on the connections that are open; new ones work. */
    void silence_open();

    /** \brief Refuses further connections and resets the open ones, as if the server's process had
     * ended. */
    void close_listener();

    bool is_listening() const noexcept { return acceptor_.is_open(); }

    /** \brief Accepts connections again after close_listener(). */
    void reopen_listener();

private:
    struct connection_pair;
    using pair_ptr = std::shared_ptr<connection_pair>;

    boost::asio::awaitable<void> accept_loop();
    boost::asio::awaitable<void> connect(pair_ptr connection);
    boost::asio::awaitable<void> pump(pair_ptr connection, bool towards_server);
    boost::asio::awaitable<void> send_endless_answer(pair_ptr connection);

    boost::asio::io_context& context_;
    net::tcp::endpoint listen_;
    net::tcp::acceptor acceptor_;
    net::tcp::endpoint server_;
    proxy_mode mode_{proxy_mode::pass};
    std::set<pair_ptr> pairs_;
};

} // namespace lavenderhoist::platform_test
