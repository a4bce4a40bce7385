#include "lavenderhoist/net/internal/h2_callbacks.hpp"

#include <algorithm>
#include <charconv>

namespace lavenderhoist::net::internal {
namespace {

constexpr std::uint32_t max_streams = 10'000;
constexpr std::uint32_t window_bytes = 4U << 20U;
constexpr std::uint32_t max_header_list_bytes = 64U << 10U;

/** Streams that a peer may reset at once, and per second. The defaults of nghttp2, 1,000 and 33,
 * are meant for untrusted peers; under overload a node resets all of its open streams several times
 * a second. */
constexpr std::uint64_t max_resets_at_once = 1U << 20U;
constexpr std::uint64_t max_resets_per_second = 1U << 20U;

h2_connection& connection_of(void* user_data) {
    return *static_cast<h2_connection*>(user_data);
}

std::string_view view(const std::uint8_t* data, std::size_t length) {
    return {reinterpret_cast<const char*>(data), length};
}

void send_settings(nghttp2_session* session) {
    const std::array<nghttp2_settings_entry, 3> settings{{
        {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, max_streams},
        {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, window_bytes},
        {NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE, max_header_list_bytes},
    }};
    nghttp2_submit_settings(session, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
    nghttp2_session_set_local_window_size(session, NGHTTP2_FLAG_NONE, 0,
                                          static_cast<std::int32_t>(window_bytes));
}

} // namespace

void nghttp2_session_deleter::operator()(nghttp2_session* session) const noexcept {
    nghttp2_session_del(session);
}

int h2_callbacks::on_begin_headers(nghttp2_session* /*session*/, const nghttp2_frame* frame,
                                   void* user_data) {
    connection_of(user_data).add_stream(frame->hd.stream_id);
    return 0;
}

int h2_callbacks::on_header(nghttp2_session* /*session*/, const nghttp2_frame* frame,
                            const std::uint8_t* name, std::size_t name_length,
                            const std::uint8_t* value, std::size_t value_length,
                            std::uint8_t /*flags*/, void* user_data) {
    auto* const target = connection_of(user_data).find_stream(frame->hd.stream_id);
    if (target == nullptr) {
        return 0;
    }
    const auto field = view(name, name_length);
    const auto text = view(value, value_length);
    if (field == ":status") {
        std::from_chars(text.data(), text.data() + text.size(), target->status);
    } else if (field == ":method") {
        target->method = text;
    } else if (field == ":path") {
        target->path = text;
    } else if (field == ":authority") {
        target->host = text;
    } else if (!field.starts_with(':')) {
        target->fields.push_back({std::string(field), std::string(text)});
    }
    return 0;
}

int h2_callbacks::on_data(nghttp2_session* session, std::uint8_t /*flags*/, std::int32_t id,
                          const std::uint8_t* data, std::size_t length, void* user_data) {
    auto& connection = connection_of(user_data);
    auto* const target = connection.find_stream(id);
    if (target == nullptr || target->is_refused) {
        return 0;
    }
    if (target->body.size() + length > connection.max_body_bytes_) {
        nghttp2_submit_rst_stream(session, NGHTTP2_FLAG_NONE, id, NGHTTP2_ENHANCE_YOUR_CALM);
        return 0;
    }
    connection.append_body(id, *target, view(data, length));
    return 0;
}

int h2_callbacks::on_frame(nghttp2_session* /*session*/, const nghttp2_frame* frame,
                           void* user_data) {
    auto& connection = connection_of(user_data);
    if (frame->hd.type == NGHTTP2_GOAWAY) {
        connection.on_goaway(frame->goaway.last_stream_id, frame->goaway.error_code);
        return 0;
    }
    const bool carries_message =
        frame->hd.type == NGHTTP2_HEADERS || frame->hd.type == NGHTTP2_DATA;
    if (!carries_message || (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) == 0) {
        return 0;
    }
    auto* const finished = connection.find_stream(frame->hd.stream_id);
    if (finished != nullptr && !finished->complete && !finished->is_refused) {
        finished->complete = true;
        connection.on_message(frame->hd.stream_id, *finished);
    }
    return 0;
}

int h2_callbacks::on_close(nghttp2_session* /*session*/, std::int32_t id, std::uint32_t code,
                           void* user_data) {
    auto& connection = connection_of(user_data);
    auto* const ended = connection.find_stream(id);
    if (ended != nullptr) {
        connection.on_stream_end(id, *ended, code);
        connection.streams_.erase(id);
    }
    return 0;
}

ssize_t h2_callbacks::read_body(nghttp2_session* /*session*/, std::int32_t id, std::uint8_t* buffer,
                                std::size_t length, std::uint32_t* flags,
                                nghttp2_data_source* /*source*/, void* user_data) {
    auto* const source = connection_of(user_data).find_stream(id);
    if (source == nullptr) {
        return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    }
    const auto& body = source->outgoing_body.str();
    const auto count = std::min(body.size() - source->sent, length);
    std::copy_n(body.data() + source->sent, count, buffer);
    source->sent += count;
    if (source->sent == body.size()) {
        *flags |= NGHTTP2_DATA_FLAG_EOF;
    }
    return static_cast<ssize_t>(count);
}

nghttp2_session_ptr make_session(h2_connection& owner, bool is_server) {
    nghttp2_session_callbacks* callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks,
                                                            &h2_callbacks::on_begin_headers);
    nghttp2_session_callbacks_set_on_header_callback(callbacks, &h2_callbacks::on_header);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, &h2_callbacks::on_data);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, &h2_callbacks::on_frame);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, &h2_callbacks::on_close);
    nghttp2_option* options = nullptr;
    nghttp2_option_new(&options);
    nghttp2_option_set_stream_reset_rate_limit(options, max_resets_at_once, max_resets_per_second);
    nghttp2_session* made = nullptr;
    if (is_server) {
        nghttp2_session_server_new2(&made, callbacks, &owner, options);
    } else {
        nghttp2_session_client_new2(&made, callbacks, &owner, options);
    }
    nghttp2_option_del(options);
    nghttp2_session_callbacks_del(callbacks);
    send_settings(made);
    return nghttp2_session_ptr(made);
}

std::vector<nghttp2_nv> to_nghttp2(std::span<const header> fields) {
    std::vector<nghttp2_nv> result;
    result.reserve(fields.size());
    for (const auto& field : fields) {
        // nghttp2 copies the bytes; its type merely lacks the const.
        auto* const name = reinterpret_cast<std::uint8_t*>(const_cast<char*>(field.name.data()));
        auto* const value = reinterpret_cast<std::uint8_t*>(const_cast<char*>(field.value.data()));
        result.push_back(
            {name, value, field.name.size(), field.value.size(), NGHTTP2_NV_FLAG_NONE});
    }
    return result;
}

nghttp2_data_provider body_provider() {
    nghttp2_data_provider provider{};
    provider.read_callback = &h2_callbacks::read_body;
    return provider;
}

} // namespace lavenderhoist::net::internal
