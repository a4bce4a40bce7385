#pragma once

#include "lavenderhoist/core/clock.hpp"

#include <memory>

struct nghttp2_session;

namespace lavenderhoist::net::internal {

struct nghttp2_session_deleter {
    void operator()(nghttp2_session* session) const noexcept;
};

using nghttp2_session_ptr = std::unique_ptr<nghttp2_session, nghttp2_session_deleter>;

/** \brief The callbacks of nghttp2, which reach into h2_connection. */
struct h2_callbacks;

} // namespace lavenderhoist::net::internal
