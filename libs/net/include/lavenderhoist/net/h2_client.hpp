#pragma once

#include "lavenderhoist/net/cancellation.hpp"
#include "lavenderhoist/net/exchange_result.hpp"
#include "lavenderhoist/net/h2_connection.hpp"
#include "lavenderhoist/net/signal.hpp"

#include <map>

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

    h2_client(tcp::socket socket, std::size_t max_body_bytes);

    /**
     * \brief Sends a request on a new stream and waits for the whole response.
     *
     * At the deadline, or when cancelled, the stream is reset, so that the peer stops its work.
     * \returns the answer, or an error; `never_processed` if the peer proved that it did not
     * process the request (REFUSED_STREAM, or above the last stream of its GOAWAY).
     */
    boost::asio::awaitable<exchange_result> exchange(const request& message, time_point deadline,
                                                     cancellation_ptr cancelled);

    /** \brief True if new streams may be opened. */
    bool is_usable() const noexcept { return is_open() && !peer_is_leaving_; }

protected:
    void on_message(std::int32_t id, stream& finished) override;
    void on_stream_end(std::int32_t id, stream& ended, std::uint32_t error_code) override;
    void on_goaway(std::int32_t last_stream_id) override;
    void on_closed() override;

private:
    struct pending;

    std::map<std::int32_t, std::shared_ptr<pending>> pending_;
    bool peer_is_leaving_{false};
};

} // namespace lavenderhoist::net
