#include "lavenderhoist/net/http_server.hpp"

#include "lavenderhoist/net/internal/beast_convert.hpp"
#include "lavenderhoist/net/internal/http_feed.hpp"
#include "lavenderhoist/net/internal/undelivered_bytes.hpp"
#include "lavenderhoist/net/sleep.hpp"
#include "lavenderhoist/net/spawn.hpp"
#include "lavenderhoist/net/timer.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>

#include <set>
#include <utility>

namespace lavenderhoist::net {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::redirect_error;
using asio::use_awaitable;

namespace {

constexpr int status_bad_request = 400;
constexpr int status_timeout = 408;
constexpr int status_too_large = 413;
constexpr int status_header_too_large = 431;
constexpr int status_unavailable = 503;
/** Delay before accepting again after a failure, most likely for lack of file descriptors. */
constexpr duration accept_retry_delay = std::chrono::milliseconds(10);

/** How long a connection is still read after its last answer has been acknowledged: the reset that
 * follows a byte on its way to a closed socket could overtake the caller's reading. */
constexpr duration close_linger = std::chrono::seconds(1);

/** Between two checks of what a caller has taken of its last answer. */
constexpr duration linger_check_interval = std::chrono::milliseconds(100);

/** One connection of a caller; idle while it waits for the first byte of a request. */
struct session {
    explicit session(tcp::socket accepted) : socket(std::move(accepted)) {}

    tcp::socket socket;
    boost::beast::flat_buffer buffer;
    bool idle{true};
};

/** Cancels operations on a socket when a deadline passes; the socket stays open. */
class cancel_guard {
public:
    cancel_guard(const std::shared_ptr<session>& connection, time_point deadline)
        : alarm_(connection->socket.get_executor(), deadline) {
        alarm_.async_wait(
            [connection, expired = expired_](const boost::system::error_code& stopped) {
                if (stopped) {
                    return;
                }
                *expired = true;
                boost::system::error_code ignored;
                connection->socket.cancel(ignored);
            });
    }
    cancel_guard(const cancel_guard&) = delete;
    cancel_guard& operator=(const cancel_guard&) = delete;
    ~cancel_guard() { alarm_.cancel(); }

    bool has_expired() const noexcept { return *expired_; }

private:
    timer alarm_;
    std::shared_ptr<bool> expired_{std::make_shared<bool>(false)};
};

using session_ptr = std::shared_ptr<session>;

} // namespace

struct http_server::shared_state {
    shared_state(tcp::acceptor opened, limits given, handler answer, fault_renderer render)
        : acceptor(std::move(opened)),
          bounds(given),
          handle(std::move(answer)),
          render_fault(std::move(render)) {}

    tcp::acceptor acceptor;
    limits bounds;
    handler handle;
    fault_renderer render_fault;
    std::set<session_ptr> sessions;
    std::size_t in_flight{0};
    bool draining{false};

    static asio::awaitable<void> accept_loop(std::shared_ptr<shared_state> self);
    static asio::awaitable<void> serve(std::shared_ptr<shared_state> self, session_ptr connection);
    asio::awaitable<bool> serve_one(session_ptr connection);
    template <typename Message>
    asio::awaitable<bool> write(session_ptr connection, const Message& message);
    asio::awaitable<void> finish(session_ptr connection);
    asio::awaitable<void> send_fault(session_ptr connection, int status, std::string_view reason);
};

namespace {

int fault_status(const boost::system::error_code& failed, bool timed_out) {
    if (timed_out) {
        return status_timeout;
    }
    if (failed == http::error::body_limit) {
        return status_too_large;
    }
    if (failed == http::error::header_limit) {
        return status_header_too_large;
    }
    return status_bad_request;
}

/** Cancels a request when its caller closes the connection before the answer. */
void watch_for_close(const session_ptr& connection, const cancellation_ptr& cancelled,
                     const std::shared_ptr<bool>& answered) {
    connection->socket.async_wait(
        tcp::socket::wait_read,
        [connection, cancelled, answered](const boost::system::error_code& failed) {
            if (failed || *answered) {
                return;
            }
            char byte = 0;
            boost::system::error_code peeked;
            connection->socket.non_blocking(true, peeked);
            const auto count = connection->socket.receive(asio::buffer(&byte, 1),
                                                          tcp::socket::message_peek, peeked);
            const bool is_closed = peeked ? peeked != asio::error::would_block : count == 0;
            if (is_closed) {
                cancelled->cancel();
            }
        });
}

} // namespace

asio::awaitable<void> http_server::shared_state::accept_loop(std::shared_ptr<shared_state> self) {
    auto& acceptor = self->acceptor;
    while (!self->draining) {
        boost::system::error_code failed;
        tcp::socket accepted(acceptor.get_executor());
        co_await acceptor.async_accept(accepted, redirect_error(use_awaitable, failed));
        if (failed == asio::error::operation_aborted || !acceptor.is_open()) {
            co_return;
        }
        if (failed) {
            co_await sleep_for(acceptor.get_executor(), accept_retry_delay);
            continue;
        }
        accepted.set_option(tcp::no_delay(true), failed);
        auto connection = std::make_shared<session>(std::move(accepted));
        spawn(acceptor.get_executor(), serve(self, std::move(connection)));
    }
}

asio::awaitable<void> http_server::shared_state::serve(std::shared_ptr<shared_state> self,
                                                       session_ptr connection) {
    if (self->sessions.size() >= self->bounds.max_connections) {
        co_await self->send_fault(connection, status_unavailable, "too many connections");
        co_await self->finish(connection);
        co_return;
    }
    self->sessions.insert(connection);
    bool keeps_open = true;
    while (keeps_open) {
        keeps_open = co_await self->serve_one(connection);
    }
    ++self->in_flight;
    co_await self->finish(connection);
    --self->in_flight;
    self->sessions.erase(connection);
}

/** Ends the sending side, and reads what the caller still sends until it closes its side: a closed
 * socket would answer it with a reset, which discards what the caller has not received yet
 * (RFC 9112 section 9.6). */
asio::awaitable<void> http_server::shared_state::finish(session_ptr connection) {
    auto& socket = connection->socket;
    boost::system::error_code failed;
    auto left = internal::undelivered_bytes(socket);
    const auto linger = connection->idle && left == 0 ? duration(0) : close_linger;
    socket.shutdown(tcp::socket::shutdown_send, failed);
    auto progress_at = runtime_clock::now();
    while (!failed &&
           runtime_clock::now() - progress_at < (left == 0 ? linger : bounds.idle_timeout)) {
        constexpr std::size_t read_bytes = 4'096;
        connection->buffer.clear();
        const auto space = connection->buffer.prepare(read_bytes);
        const cancel_guard guard(connection, runtime_clock::now() + linger_check_interval);
        co_await socket.async_read_some(space, redirect_error(use_awaitable, failed));
        if (failed == asio::error::operation_aborted && guard.has_expired()) {
            failed = {};
        }
        const auto left_now = internal::undelivered_bytes(socket);
        if (left_now != std::exchange(left, left_now)) {
            progress_at = runtime_clock::now();
        }
    }
    socket.close(failed);
}

/** Writes a message as long as the caller takes some of it within each time limit; otherwise closes
 * the socket. \returns true if all of it is written. */
template <typename Message>
asio::awaitable<bool> http_server::shared_state::write(session_ptr connection,
                                                       const Message& message) {
    auto& socket = connection->socket;
    boost::system::error_code failed;
    http::serializer<false, http::string_body> serializer(message);
    auto left = internal::undelivered_bytes(socket);
    while (!serializer.is_done() && !failed) {
        const cancel_guard guard(connection, runtime_clock::now() + bounds.header_timeout);
        co_await http::async_write_some(socket, serializer, redirect_error(use_awaitable, failed));
        const auto left_now = internal::undelivered_bytes(socket);
        const bool has_progressed = left_now != std::exchange(left, left_now);
        if (failed == asio::error::operation_aborted && guard.has_expired() && has_progressed) {
            failed = {};
        }
    }
    if (failed) {
        boost::system::error_code ignored;
        socket.close(ignored);
    }
    co_return !failed;
}

asio::awaitable<bool> http_server::shared_state::serve_one(session_ptr connection) {
    boost::system::error_code failed;
    connection->idle = true;
    if (connection->buffer.size() == 0) {
        const cancel_guard guard(connection, runtime_clock::now() + bounds.idle_timeout);
        co_await connection->socket.async_wait(tcp::socket::wait_read,
                                               redirect_error(use_awaitable, failed));
        if (failed) {
            co_return false;
        }
    }
    connection->idle = false;

    http::request_parser<http::string_body> parser;
    parser.header_limit(static_cast<std::uint32_t>(bounds.max_header_bytes));
    parser.body_limit(bounds.max_body_bytes);
    bool has_timed_out = false;
    {
        const cancel_guard guard(connection, runtime_clock::now() + bounds.header_timeout);
        failed = co_await internal::read_message(connection->socket, connection->buffer, parser);
        has_timed_out = guard.has_expired();
    }
    if (failed == http::error::end_of_stream) {
        co_return false;
    }
    if (failed) {
        co_await send_fault(connection, fault_status(failed, has_timed_out), failed.message());
        co_return false;
    }
    if (!internal::has_known_framing(parser.get())) {
        co_await send_fault(connection, fault_status(http::error::bad_transfer_encoding, false),
                            "transfer coding is not supported");
        co_return false;
    }

    const bool is_keep_alive = parser.get().keep_alive();
    boost::system::error_code peer_failed;
    const auto remote = connection->socket.remote_endpoint(peer_failed);
    auto peer = peer_failed ? std::string("?") : remote.address().to_string();
    auto message = internal::from_beast(parser.release());
    const auto cancelled = std::make_shared<cancellation>();
    const auto answered = std::make_shared<bool>(false);
    watch_for_close(connection, cancelled, answered);

    ++in_flight;
    auto answer = co_await handle(std::move(message), std::move(peer), cancelled);
    *answered = true;
    const bool keeps_open = is_keep_alive && !draining;
    bool is_written = false;
    if (!cancelled->is_cancelled()) {
        const auto outgoing = internal::to_beast(answer, keeps_open);
        is_written = co_await write(connection, outgoing);
    }
    --in_flight;
    co_return keeps_open&& is_written;
}

asio::awaitable<void> http_server::shared_state::send_fault(session_ptr connection, int status,
                                                            std::string_view reason) {
    const auto answer = internal::to_beast(render_fault(status, reason), false);
    co_await write(std::move(connection), answer);
}

http_server::http_server(tcp::acceptor acceptor, limits bounds, handler handle,
                         fault_renderer render_fault)
    : state_(std::make_shared<shared_state>(std::move(acceptor), bounds, std::move(handle),
                                            std::move(render_fault))) {}

http_server::~http_server() {
    drain();
    close_idle();
}

void http_server::start() {
    spawn(state_->acceptor.get_executor(), shared_state::accept_loop(state_));
}

void http_server::drain() {
    state_->draining = true;
    boost::system::error_code ignored;
    state_->acceptor.close(ignored);
}

void http_server::close_idle() {
    boost::system::error_code ignored;
    for (const auto& connection : state_->sessions) {
        if (connection->idle) {
            connection->socket.cancel(ignored); // its coroutine closes it
        }
    }
}

std::size_t http_server::requests_in_flight() const noexcept {
    return state_->in_flight;
}

std::size_t http_server::open_connections() const noexcept {
    return state_->sessions.size();
}

} // namespace lavenderhoist::net
