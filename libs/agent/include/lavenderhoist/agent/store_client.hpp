#pragma once

#include "lavenderhoist/agent/store_codec.hpp"
#include "lavenderhoist/net/http_client.hpp"

#include <boost/asio/awaitable.hpp>

#include <string>

namespace lavenderhoist::agent {

/** \brief The only client of the platform's record store. Not thread-safe; lives on one executor.
 */
class store_client {
public:
    store_client(boost::asio::any_io_executor executor, const net::tcp::endpoint& store,
                 const store_codec& codec);

    /** \brief Lists the newest records of a topic, all pages. */
    boost::asio::awaitable<read_result> list_newest(topic which);

    /** \brief Waits for records from an offset on. */
    boost::asio::awaitable<read_result> read(topic which, std::int64_t offset);

    /** \brief Writes a record. A failure may have been executed; the caller settles that by writing
     * or reading again. */
    boost::asio::awaitable<append_result> append(topic which, const store_record& record);

    /** \brief Calls made so far. */
    std::uint64_t calls() const noexcept { return calls_; }

private:
    boost::asio::awaitable<net::exchange_result> exchange(const net::request& message,
                                                          duration timeout);

    const store_codec& codec_;
    net::http_client http_;
    std::uint64_t calls_{0};
};

} // namespace lavenderhoist::agent
