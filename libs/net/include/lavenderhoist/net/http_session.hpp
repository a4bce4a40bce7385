#pragma once

#include "lavenderhoist/net/byte_stream.hpp"
#include "lavenderhoist/net/http_limits.hpp"
#include "lavenderhoist/net/memory_charge.hpp"
#include "lavenderhoist/net/message.hpp"

#include <functional>
#include <memory>
#include <string>

namespace lavenderhoist::net {

/**
 * \brief The server end of one HTTP/1.1 connection, without coroutines: one request at a time.
 *
 * Malformed, oversized and slow requests are answered with a 4xx status and the connection is
 * closed, without a call of the handler.
 */
class http_session final : public byte_stream {
public:
    /** \brief Handlers for the events of a session. */
    struct events {
        /** A whole request has arrived; to be answered by answer() or abort(). */
        std::function<void(const std::shared_ptr<http_session>&, request)> on_request;
        /** The caller has disconnected; the request in flight, if any, is cancelled. */
        std::function<void(const std::shared_ptr<http_session>&)> on_gone;
        /** A request was rejected with this status before it was complete. */
        std::function<void(int status, std::string_view reason)> on_rejected;
    };

    /** \param bounds may change while the session lives.
     * \param memory counts the bytes held for the caller; may be null. */
    http_session(tcp::socket socket, std::shared_ptr<const http_limits> bounds,
                 std::shared_ptr<const events> handlers, memory_pool_ptr memory = nullptr);
    http_session(const http_session&) = delete;
    http_session& operator=(const http_session&) = delete;
    ~http_session() override;

    void start() { start_reading(); }

    /**
     * \brief Answers the current request. Precondition: is_busy().
     * \param keep_alive false to close the connection once the caller has the answer.
     */
    void answer(response message, bool keep_alive);

    /** \brief Closes the connection without an answer. */
    void abort();

    /** \brief True while a request waits for its answer. */
    bool is_busy() const noexcept { return is_request_pending_; }

    /** \brief True if part of a request has arrived. */
    bool is_receiving() const noexcept;

    /** \brief True if the connection is being closed: no further request is read, and the caller
     * may not have all of its last answer yet. */
    bool is_closing() const noexcept { return closing_ && !is_request_pending_ && is_open(); }

    /** \brief Address of the caller. */
    const tcp::endpoint& peer() const noexcept { return peer_; }

    /** \brief Enforces the time limits; to be called periodically. */
    void check_time(time_point now);

    /** \brief Closes the connection if it waits for a request, once the caller has its answers. */
    void close_if_idle();

private:
    struct reading;

    void on_bytes(std::string_view bytes) override;
    void on_end(std::error_code failed) override;
    void on_peer_finished() override;
    void parse();
    bool parse_next();
    void finish_request();
    void reject(int status, std::string_view reason, bool may_return = false);
    void refuse(memory_account::decision what);
    void count_received();
    void count_unsent();
    void on_writable() override { unsent_charge_.reset(); }
    void begin_close();
    void stop_receiving();
    time_point last_progress(time_point now);
    std::shared_ptr<http_session> self();

    std::shared_ptr<const http_limits> bounds_;
    std::shared_ptr<const events> handlers_;
    tcp::endpoint peer_;
    memory_pool_ptr memory_;
    memory_charge received_charge_; ///< Of the request being received and of pipelined bytes.
    memory_charge unsent_charge_;
    std::string buffer_;
    std::unique_ptr<reading> reading_;
    time_point state_since_; ///< When the current state began: idle, receiving, busy or closing.
    time_point progress_at_; ///< When `undelivered_` was last seen to have changed.
    std::size_t undelivered_{0};
    bool is_request_pending_{false};
    bool is_keep_alive_{true}; ///< The last request allows further ones on the connection.
    bool closing_{false};
    bool is_parsing_{false};
};

} // namespace lavenderhoist::net
