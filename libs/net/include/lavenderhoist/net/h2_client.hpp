#pragma once

#include "lavenderhoist/net/cancellation.hpp"
#include "lavenderhoist/net/exchange_result.hpp"
#include "lavenderhoist/net/h2_connection.hpp"
#include "lavenderhoist/net/signal.hpp"

#include <functional>
#include <unordered_map>

namespace lavenderhoist::net {

/** \brief The client end of an HTTP/2 connection (cleartext, prior knowledge). */
class h2_client final : public h2_connection {
public:
    /**
     * \brief Connects to a peer.
     * \returns null if there was no connection by `deadline`.
     */
    static boost::asio::awaitable<std::shared_ptr<h2_client>>
    connect(boost::asio::any_io_executor executor, tcp::endpoint peer, std::size_t max_body_bytes,
            time_point deadline);

    /** \param memory counts the bytes held of answers; may be null. */
    h2_client(tcp::socket socket, std::size_t max_body_bytes, memory_pool_ptr memory = nullptr);

    using done_handler = std::function<void(exchange_result)>;

    /**
     * \brief Sends a request on a new stream.
     * \param done is called once, with the whole answer or an error, unless cancel() comes before;
     * `never_processed` is set if the peer proved that it did not process the request
     * (REFUSED_STREAM, or above the last stream of its GOAWAY).
     * \returns the stream's number for cancel(); negative if no stream could be opened: `done` is
     * not called then and nothing was sent.
     */
    std::int32_t submit(const request& message, done_handler done);

    /** \brief Resets a stream whose answer is no longer needed; its handler is not called. */
    void cancel(std::int32_t id);

    /**
     * \brief Sends a request on a new stream and waits for the whole response.
     *
     * At the deadline, or when cancelled, the stream is reset, so that the peer can cancel the
     * work.
     * \returns what submit() would pass to its handler.
     */
    boost::asio::awaitable<exchange_result> exchange(const request& message, time_point deadline,
                                                     cancellation_ptr cancelled);

    /** \brief True if new streams may be opened. */
    bool is_usable() const noexcept { return is_open() && !is_peer_draining_; }

protected:
    void on_message(std::int32_t id, stream& finished) override;
    void on_refused(std::int32_t id, stream& refused) override;
    void on_stream_end(std::int32_t id, stream& ended, std::uint32_t error_code) override;
    void on_goaway(std::int32_t last_stream_id, std::uint32_t error_code) override;
    void on_closed() override;

private:
    void finish(std::int32_t id, exchange_result result);

    std::unordered_map<std::int32_t, done_handler> pending_;
    bool is_peer_draining_{false}; ///< GOAWAY received or connection closed: no new streams.
    bool has_peer_failed_{false};  ///< A GOAWAY with an error code was received.
};

} // namespace lavenderhoist::net
