#pragma once

#include "lavenderhoist/net/byte_stream.hpp"
#include "lavenderhoist/net/internal/nghttp2_ptr.hpp"
#include "lavenderhoist/net/memory_charge.hpp"
#include "lavenderhoist/net/message.hpp"

#include <algorithm>
#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>

namespace lavenderhoist::net {

/**
 * \brief Base of the client and server ends of an HTTP/2 connection: reading, writing, streams.
 *
 * A message is delivered when it is complete; a stream that exceeds the body limit is reset.
 * Not thread-safe; lives on one executor, kept alive by its read loop.
 */
class h2_connection : public byte_stream {
public:
    /** \param memory counts the bytes held of messages; may be null. */
    h2_connection(tcp::socket socket, std::size_t max_body_bytes, memory_pool_ptr memory);
    h2_connection(const h2_connection&) = delete;
    h2_connection& operator=(const h2_connection&) = delete;
    ~h2_connection() override;

    /** \brief Begins to read and sends the preface; call once, when owned by a shared_ptr. */
    void start();

    /** \brief Closes the socket; every open stream ends with an error. */
    void shut_down();

    /** \brief Streams that have begun and not ended. */
    std::size_t open_streams() const noexcept { return streams_.size(); }

    /** \brief True if the peer has not received all of the messages that were submitted. */
    bool has_undelivered_output();

    /** \brief When bytes were last received or sent. */
    time_point last_activity() const noexcept { return std::max(last_received(), last_sent_); }

    /** \brief Sends a PING; its acknowledgement updates last_received(). */
    void ping();

protected:
    /** \brief One message in each direction. */
    struct stream {
        int status{0};
        std::string method;
        std::string path;
        std::string host;
        headers fields;
        std::string body;     ///< Received so far.
        memory_charge charge; ///< For `body`.
        shared_body outgoing_body;
        std::size_t sent{0};    ///< Bytes of outgoing_body passed to nghttp2.
        bool complete{false};   ///< The peer has ended its side.
        bool is_refused{false}; ///< For lack of memory; the rest of its body is discarded.
    };

    nghttp2_session* session() const noexcept { return session_.get(); }
    stream* find_stream(std::int32_t id);
    stream& add_stream(std::int32_t id) { return streams_[id]; }

    /** \brief Sets nghttp2's session; called once by the constructors of the ends. */
    void set_session(internal::nghttp2_session_ptr session);

    /** \brief Sends the pending output of nghttp2 after the current event has been handled. */
    void flush();

    /** \brief The peer has sent a whole message on this stream. */
    virtual void on_message(std::int32_t id, stream& finished) = 0;

    /** \brief There is no memory for the rest of the peer's message; `refused` holds no body any
     * more, and on_message() is not called. */
    virtual void on_refused(std::int32_t id, stream& refused) = 0;

    const memory_pool_ptr& memory() const noexcept { return memory_; }

    /** \brief A stream has ended. \param error_code of HTTP/2; 0 if it ended in order. */
    virtual void on_stream_end(std::int32_t id, stream& ended, std::uint32_t error_code) = 0;

    /** \brief The peer has sent GOAWAY and accepts no new streams.
     * \param error_code of HTTP/2; 0 for an orderly end. */
    virtual void on_goaway(std::int32_t /*last_stream_id*/, std::uint32_t /*error_code*/) {}

    /** \brief The connection has closed. Called once; no other handler is called afterwards. */
    virtual void on_closed() = 0;

    friend struct internal::h2_callbacks;

private:
    void on_bytes(std::string_view bytes) override;
    void on_end(std::error_code failed) override;
    void on_writable() override { write_pending(); }
    void write_pending();
    void append_body(std::int32_t id, stream& target, std::string_view bytes);
    void refuse(std::int32_t id);
    void end_all_streams();

    internal::nghttp2_session_ptr session_;
    std::unordered_map<std::int32_t, stream> streams_;
    std::size_t max_body_bytes_;
    memory_pool_ptr memory_;
    std::string write_buffer_;
    time_point last_sent_;
    bool write_posted_{false};
};

} // namespace lavenderhoist::net
