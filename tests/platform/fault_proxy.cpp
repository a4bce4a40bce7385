#include "fault_proxy.hpp"

#include "lavenderhoist/net/sleep.hpp"
#include "lavenderhoist/net/spawn.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <string>

namespace lavenderhoist::platform_test {

namespace asio = boost::asio;

namespace {

constexpr duration delay_time = std::chrono::milliseconds(60);
constexpr std::size_t buffer_bytes = 16U << 10U;

net::tcp::endpoint endpoint_of(const config::address& where) {
    return net::make_endpoint(where.host, where.port);
}

} // namespace

/** The two sides of one connection. */
struct fault_proxy::connection_pair {
    explicit connection_pair(net::tcp::socket accepted)
        : client(std::move(accepted)), server(client.get_executor()) {}

    void close(bool reset) {
        boost::system::error_code ignored;
        if (reset) {
            // Closing with a linger time of zero sends a reset.
            client.set_option(asio::socket_base::linger(true, 0), ignored);
            server.set_option(asio::socket_base::linger(true, 0), ignored);
        }
        client.close(ignored);
        server.close(ignored);
    }

    net::tcp::socket client;
    net::tcp::socket server;
    bool is_silent{false};
};

fault_proxy::fault_proxy(asio::io_context& context, const config::address& listen,
                         const config::address& server)
    : context_(context),
      listen_(endpoint_of(listen)),
      acceptor_(net::listen(context.get_executor(), listen_)),
      server_(endpoint_of(server)) {}

void fault_proxy::start() {
    net::spawn(context_, accept_loop());
}

void fault_proxy::reset_all() {
    for (const auto& each : std::exchange(pairs_, {})) {
        each->close(true);
    }
}

void fault_proxy::silence_open() {
    for (const auto& each : pairs_) {
        each->is_silent = true;
    }
}

void fault_proxy::close_listener() {
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    reset_all();
}

void fault_proxy::reopen_listener() {
    acceptor_ = net::listen(context_.get_executor(), listen_);
    start();
}

asio::awaitable<void> fault_proxy::accept_loop() {
    while (true) {
        net::tcp::socket accepted(context_);
        boost::system::error_code failed;
        co_await acceptor_.async_accept(accepted,
                                        asio::redirect_error(asio::use_awaitable, failed));
        if (failed) {
            co_return;
        }
        auto made = std::make_shared<connection_pair>(std::move(accepted));
        pairs_.insert(made);
        net::spawn(context_, connect(std::move(made)));
    }
}

asio::awaitable<void> fault_proxy::connect(pair_ptr connection) {
    boost::system::error_code failed;
    co_await connection->server.async_connect(server_,
                                              asio::redirect_error(asio::use_awaitable, failed));
    if (failed) {
        connection->close(true);
        pairs_.erase(connection);
        co_return;
    }
    net::spawn(context_, pump(connection, true));
    net::spawn(context_, pump(connection, false));
}

asio::awaitable<void> fault_proxy::send_endless_answer(pair_ptr connection) {
    const auto mode = mode_;
    const std::string head(mode == proxy_mode::endless ? "HTTP/1.1 200 OK\r\n\r\n"
                                                       : "HTTP/1.1 200 OK\r\n");
    const std::string field = "x-field: some value\r\n";
    std::string piece(buffer_bytes, 'x');
    if (mode == proxy_mode::endless_head) {
        piece.clear();
        while (piece.size() < buffer_bytes) {
            piece += field;
        }
    }
    boost::system::error_code failed;
    co_await asio::async_write(connection->client, asio::buffer(head),
                               asio::redirect_error(asio::use_awaitable, failed));
    while (!failed && mode_ == mode) {
        co_await asio::async_write(connection->client, asio::buffer(piece),
                                   asio::redirect_error(asio::use_awaitable, failed));
    }
}

asio::awaitable<void> fault_proxy::pump(pair_ptr connection, bool towards_server) {
    auto& from = towards_server ? connection->client : connection->server;
    auto& to = towards_server ? connection->server : connection->client;
    std::array<char, buffer_bytes> buffer{};
    boost::system::error_code failed;
    while (!failed) {
        const auto count = co_await from.async_read_some(
            asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, failed));
        if (failed) {
            break;
        }
        const bool is_dropped =
            mode_ == proxy_mode::silent || connection->is_silent ||
            mode_ == (towards_server ? proxy_mode::drop_requests : proxy_mode::drop_answers);
        if (is_dropped) {
            continue;
        }
        const bool is_endless = mode_ == proxy_mode::endless || mode_ == proxy_mode::endless_head;
        if (is_endless && !towards_server) {
            co_await send_endless_answer(connection);
            break;
        }
        if (mode_ == proxy_mode::delay) {
            co_await net::sleep_for(context_.get_executor(), delay_time);
        }
        co_await asio::async_write(to, asio::buffer(buffer.data(), count),
                                   asio::redirect_error(asio::use_awaitable, failed));
    }
    connection->close(failed != asio::error::eof);
    pairs_.erase(connection);
}

} // namespace lavenderhoist::platform_test
