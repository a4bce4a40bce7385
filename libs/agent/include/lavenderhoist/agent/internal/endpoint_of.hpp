#pragma once

#include "lavenderhoist/config/address.hpp"
#include "lavenderhoist/net/endpoint.hpp"

namespace lavenderhoist::agent {

/** \brief The endpoint of a configured address. */
inline net::tcp::endpoint endpoint_of(const config::address& address) {
    return net::make_endpoint(address.host, address.port);
}

} // namespace lavenderhoist::agent
