#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <cstddef>

namespace lavenderhoist::net::internal {

/** \brief Bytes written to the socket that the peer has not acknowledged, and its end of the
 * connection if that was sent (`SIOCOUTQ`, tcp(7)). 0 if the socket is closed or can't tell. */
std::size_t undelivered_bytes(boost::asio::ip::tcp::socket& socket);

} // namespace lavenderhoist::net::internal
