#pragma once

#include "lavenderhoist/agent/store_codec.hpp"
#include "lavenderhoist/net/http_client.hpp"

#include <boost/asio/awaitable.hpp>

#include <string>

namespace lavenderhoist::agent {

/** \brief Client of the platform's record store; a node has one. Not thread-safe: used on one
 * executor. */
class store_client {
public:
    store_client(boost::asio::any_io_executor executor, const net::tcp::endpoint& store,
                 const store_codec& codec);

    /** \brief Lists the newest record of each key of a topic, over all pages. */
    boost::asio::awaitable<read_result> list_newest(topic which);

    /** \brief Reads the records from an offset on; a long poll of up to `wait` if there are none
     * yet, which `cancelled` ends. */
    boost::asio::awaitable<read_result> read(topic which, std::int64_t offset, duration wait,
                                             net::cancellation_ptr cancelled);

    /** \brief Appends a record. After a store_failure the record may have been written or not; the
     * caller resolves that by appending or reading again. */
    boost::asio::awaitable<append_result> append(topic which, const store_record& record);

    /** \brief Closes the connections without a call: the next calls open new ones. */
    void close_idle_connections() { http_.close_idle(); }

    /** \brief Calls made since the start. */
    std::uint64_t calls() const noexcept { return calls_; }

private:
    boost::asio::awaitable<net::exchange_result>
    exchange(const net::request& message, duration timeout, net::cancellation_ptr cancelled);

    const store_codec& codec_;
    net::http_client http_;
    std::uint64_t calls_{0};
};

} // namespace lavenderhoist::agent
