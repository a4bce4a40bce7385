#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <string>
#include <system_error>

namespace lavenderhoist::net {

using tcp = boost::asio::ip::tcp;

/** \brief Makes an endpoint of a numeric address.
 * \returns an endpoint with port 0 if `host` is not one. */
tcp::endpoint make_endpoint(const std::string& host, std::uint16_t port);

/** \brief Opens a listening socket. \throws boost::system::system_error if the address is taken. */
tcp::acceptor listen(const boost::asio::any_io_executor& executor, const tcp::endpoint& where);

} // namespace lavenderhoist::net
