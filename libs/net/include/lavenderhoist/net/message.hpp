#pragma once

#include "lavenderhoist/net/headers.hpp"
#include "lavenderhoist/net/shared_body.hpp"

#include <string>

namespace lavenderhoist::net {

/** \brief A whole request: method, path with query, fields and body. */
struct request {
    std::string method;
    std::string path;
    headers fields;
    shared_body body;
    std::string host{}; ///< As the caller sent it; empty where it is not used.
};

/** \brief A whole response. */
struct response {
    int status{0};
    headers fields;
    std::string body;
};

} // namespace lavenderhoist::net
