#pragma once

#include "lavenderhoist/net/h2_connection.hpp"

#include <nghttp2/nghttp2.h>

#include <span>

namespace lavenderhoist::net::internal {

/** \brief The callbacks of nghttp2; `user_data` is the h2_connection. */
struct h2_callbacks {
    static int on_header(nghttp2_session* session, const nghttp2_frame* frame,
                         const std::uint8_t* name, std::size_t name_length,
                         const std::uint8_t* value, std::size_t value_length, std::uint8_t flags,
                         void* user_data);
    static int on_data(nghttp2_session* session, std::uint8_t flags, std::int32_t id,
                       const std::uint8_t* data, std::size_t length, void* user_data);
    static int on_frame(nghttp2_session* session, const nghttp2_frame* frame, void* user_data);
    static int on_begin_headers(nghttp2_session* session, const nghttp2_frame* frame,
                                void* user_data);
    static int on_close(nghttp2_session* session, std::int32_t id, std::uint32_t code,
                        void* user_data);
    static ssize_t read_body(nghttp2_session* session, std::int32_t id, std::uint8_t* buffer,
                             std::size_t length, std::uint32_t* flags, nghttp2_data_source* source,
                             void* user_data);
};

/** \brief Makes a client or server session with these callbacks. */
nghttp2_session_ptr make_session(h2_connection& owner, bool is_server);

/** \brief Views of header fields in nghttp2's form; the fields must outlive the result. */
std::vector<nghttp2_nv> to_nghttp2(std::span<const header> fields);

/** \brief The source of a stream's outgoing body. */
nghttp2_data_provider body_provider();

} // namespace lavenderhoist::net::internal
