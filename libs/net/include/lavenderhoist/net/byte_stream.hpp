#pragma once

#include "lavenderhoist/core/clock.hpp"
#include "lavenderhoist/net/endpoint.hpp"

#include <memory>
#include <string>
#include <string_view>

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

    /** \brief Closes once everything that was passed to send() is written. */
    void close_after_writing();

    bool is_open() const noexcept { return open_; }

    /** \brief Bytes passed to send() that are not written to the socket yet. */
    std::size_t unsent() const noexcept { return outgoing_.size(); }

    /** \brief When bytes were last received. */
    time_point last_received() const noexcept { return last_received_; }

protected:
    /** \brief Begins to read. Call once, when the object is owned by a shared_ptr. */
    void start_reading();

    /** \brief Sends bytes in order. */
    void send(std::string_view bytes);

    /** \brief Bytes have arrived. */
    virtual void on_bytes(std::string_view bytes) = 0;

    /** \brief The connection has ended, in order or not; the socket is closed. Called once at most.
     * \param failed clear if the peer ended the connection in order. */
    virtual void on_end(std::error_code failed) = 0;

    /** \brief All bytes kept by send() have been written to the socket. */
    virtual void on_writable() {}

    tcp::socket& socket() noexcept { return socket_; }

private:
    void wait_readable();
    void read_ready();
    void wait_writable();
    void write_ready();
    void end(std::error_code failed);

    tcp::socket socket_;
    std::string outgoing_;
    time_point last_received_;
    bool open_{true};
    bool waiting_writable_{false};
    bool closing_{false};
};

} // namespace lavenderhoist::net
