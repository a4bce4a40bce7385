#include "lavenderhoist/net/h2_connection.hpp"

#include "lavenderhoist/net/internal/h2_callbacks.hpp"

#include <boost/asio/post.hpp>

#include <utility>

namespace lavenderhoist::net {

namespace asio = boost::asio;

namespace {

constexpr std::size_t write_batch_bytes = 64U << 10U;

/** Bodies above this size are given space for the largest one at once. Pages that are not written
 * take no memory; a string that grows holds its bytes twice for a moment. */
constexpr std::size_t min_reserved_body_bytes = 1U << 20U;

} // namespace

h2_connection::h2_connection(tcp::socket socket, std::size_t max_body_bytes, memory_pool_ptr memory)
    : byte_stream(std::move(socket)),
      max_body_bytes_(max_body_bytes),
      memory_(std::move(memory)),
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

void h2_connection::append_body(std::int32_t id, stream& target, std::string_view bytes) {
    const auto size = target.body.size() + bytes.size();
    if (size > min_reserved_body_bytes && target.body.capacity() < size) {
        target.body.reserve(max_body_bytes_);
    }
    target.body += bytes;
    if (!memory_ || size < memory_charge::min_counted_bytes) {
        return;
    }
    if (!target.charge) {
        target.charge =
            memory_charge(memory_, [this, id](memory_account::decision /*what*/) { refuse(id); });
    }
    target.charge.resize(size);
}

void h2_connection::refuse(std::int32_t id) {
    if (auto* const refused = find_stream(id); refused != nullptr && is_open()) {
        refused->is_refused = true;
        refused->body = {};
        refused->charge.reset();
        on_refused(id, *refused);
    }
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

bool h2_connection::has_undelivered_output() {
    if (!is_open()) {
        return false;
    }
    // Streams that wait for the peer's flow control window don't count as wanting to write.
    const bool has_unsent_body = std::ranges::any_of(streams_, [](const auto& entry) {
        return entry.second.sent < entry.second.outgoing_body.size();
    });
    return has_unsent_body || nghttp2_session_want_write(session()) != 0 || undelivered() > 0;
}

void h2_connection::end_all_streams() {
    auto streams = std::exchange(streams_, {});
    for (auto& [id, open_stream] : streams) {
        on_stream_end(id, open_stream, NGHTTP2_CONNECT_ERROR);
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
