#include "lavenderhoist/net/h2_connection.hpp"

#include "lavenderhoist/net/internal/h2_callbacks.hpp"

#include <boost/asio/post.hpp>

#include <utility>

namespace lavenderhoist::net {

namespace asio = boost::asio;

namespace {

constexpr std::size_t write_batch_bytes = 64U << 10U;

} // namespace

h2_connection::h2_connection(tcp::socket socket, std::size_t max_body_bytes)
    : byte_stream(std::move(socket)),
      max_body_bytes_(max_body_bytes),
      last_sent_(runtime_clock::now()) {}

h2_connection::~h2_connection() = default;

void h2_connection::set_session(internal::nghttp2_session_ptr session) {
    session_ = std::move(session);
}

void h2_connection::start() {
    start_reading();
    flush();
}

h2_connection::stream* h2_connection::find_stream(std::int32_t id) {
    const auto found = streams_.find(id);
    return found == streams_.end() ? nullptr : &found->second;
}

void h2_connection::on_bytes(std::string_view bytes) {
    const auto consumed = nghttp2_session_mem_recv(
        session(), reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
    if (consumed < 0) {
        shut_down();
        return;
    }
    flush();
}

void h2_connection::ping() {
    nghttp2_submit_ping(session(), NGHTTP2_FLAG_NONE, nullptr);
    flush();
}

void h2_connection::flush() {
    if (!is_open() || std::exchange(write_posted_, true)) {
        return;
    }
    asio::post(socket().get_executor(),
               [self = std::static_pointer_cast<h2_connection>(shared_from_this())] {
                   self->write_posted_ = false;
                   self->write_pending();
               });
}

void h2_connection::write_pending() {
    while (is_open() && unsent() == 0) {
        write_buffer_.clear();
        while (write_buffer_.size() < write_batch_bytes) {
            const std::uint8_t* data = nullptr;
            const auto count = nghttp2_session_mem_send(session(), &data);
            if (count <= 0) {
                break;
            }
            write_buffer_.append(reinterpret_cast<const char*>(data),
                                 static_cast<std::size_t>(count));
        }
        if (write_buffer_.empty()) {
            break;
        }
        last_sent_ = runtime_clock::now();
        send(write_buffer_);
    }
    const bool is_finished =
        nghttp2_session_want_read(session()) == 0 && nghttp2_session_want_write(session()) == 0;
    if (is_open() && unsent() == 0 && is_finished) {
        shut_down();
    }
}

void h2_connection::end_all_streams() {
    const auto streams = std::exchange(streams_, {});
    for (const auto& [id, open_stream] : streams) {
        auto copy = open_stream;
        on_stream_end(id, copy, NGHTTP2_CONNECT_ERROR);
    }
}

void h2_connection::shut_down() {
    if (!is_open()) {
        return;
    }
    close();
    end_all_streams();
    on_closed();
}

void h2_connection::on_end(std::error_code /*failed*/) {
    end_all_streams();
    on_closed();
}

} // namespace lavenderhoist::net
