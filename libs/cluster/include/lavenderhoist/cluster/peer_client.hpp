#pragma once

#include "lavenderhoist/core/clock.hpp"
#include "lavenderhoist/net/h2_pool.hpp"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace lavenderhoist::node {

/** \brief Sends control messages to other nodes and counts their bytes. Lives on the control
 * thread. */
class peer_client {
public:
    peer_client(boost::asio::any_io_executor executor, std::string secret);

    /** \returns the body of the answer, or nothing on a failure, a timeout or a status other than
     * 200. */
    boost::asio::awaitable<std::optional<std::string>>
    send_request(std::string address, std::string path, std::string body, duration timeout);

    void close_idle(duration unused_for);

    std::uint64_t messages() const noexcept { return messages_; }
    std::uint64_t bytes() const noexcept { return bytes_; }

private:
    net::h2_pool pool_;
    std::string secret_;
    std::uint64_t messages_{0};
    std::uint64_t bytes_{0};
};

} // namespace lavenderhoist::node
