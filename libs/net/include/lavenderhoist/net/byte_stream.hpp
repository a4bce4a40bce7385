#pragma once

#include "lavenderhoist/core/clock.hpp"
#include "lavenderhoist/net/endpoint.hpp"
#include "lavenderhoist/net/shared_body.hpp"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace lavenderhoist::net {

/**
 * \brief A TCP socket that reads when it is readable and writes without blocking.
 *
 * Waits for readability before a read, so that a read costs one system call. Writes immediately;
 * only bytes for which the socket's send buffer has no space are kept and written later. Not
 * thread-safe; lives on one executor. The stream keeps itself alive until it is closed.
 */
class byte_stream : public std::enable_shared_from_this<byte_stream> {
public:
    explicit byte_stream(tcp::socket socket);
    byte_stream(const byte_stream&) = delete;
    byte_stream& operator=(const byte_stream&) = delete;
    virtual ~byte_stream() = default;

    /** \brief Closes the socket. on_end() is not called. Discards what was not written yet. */
    void close();

    /**
     * \brief Ends the sending side once everything that was passed to send() is written.
     *
     * Bytes that arrive are still read: a closed socket would answer them with a reset, which
     * discards what the peer has not received yet (RFC 9112 section 9.6). The stream ends when the
     * peer ends its side; call close() if it does not.
     */
    void finish_sending();

    bool is_open() const noexcept { return open_; }

    /** \brief Bytes passed to send() that are not written to the socket yet. */
    std::size_t unsent() const noexcept { return unsent_; }

    /** \brief Bytes passed to send() that the peer has not acknowledged. */
    std::size_t undelivered();

    /** \brief When bytes were last received. */
    time_point last_received() const noexcept { return last_received_; }

protected:
    /** \brief Begins to read. Call once, when the object is owned by a shared_ptr. */
    void start_reading();

    /** \brief Sends bytes in order. */
    void send(std::string_view bytes);

    /** \brief Sends a body in order; what is not written at once is shared, not copied. */
    void send_body(const shared_body& body);

    /** \brief Bytes have arrived. */
    virtual void on_bytes(std::string_view bytes) = 0;

    /** \brief The connection has ended, in order or not; the socket is closed. Called once at most.
     * \param failed clear if the peer ended the connection in order. */
    virtual void on_end(std::error_code failed) = 0;

    /** \brief The peer has ended its sending side; it may still read. Ends the stream unless
     * overridden by a call of end_after_writing(). */
    virtual void on_peer_finished() { end({}); }

    /** \brief Ends the stream, as if the peer had ended it, once all is written. */
    void end_after_writing();

    /** \brief Closes the socket and calls on_end(). */
    void end(std::error_code failed);

    /** \brief All bytes kept by send() have been written to the socket. */
    virtual void on_writable() {}

    tcp::socket& socket() noexcept { return socket_; }

private:
    /** Bytes that are kept until they can be written: copied ones, or a body. */
    struct segment {
        std::string copied;
        shared_body body;
        std::size_t written{0};

        std::string_view left() const noexcept {
            return std::string_view(body.empty() ? copied : body.str()).substr(written);
        }
    };

    /** Writes what the socket takes at once. \returns the bytes that are left. */
    std::string_view write_some(std::string_view bytes);

    void wait_readable();
    void read_ready();
    void wait_writable();
    void write_ready();
    void shut_down_sending();

    tcp::socket socket_;
    std::vector<segment> outgoing_;
    std::size_t unsent_{0};
    time_point last_received_;
    bool open_{true};
    bool waiting_writable_{false};
    bool is_finishing_{false};
    bool has_peer_finished_{false};
};

} // namespace lavenderhoist::net
