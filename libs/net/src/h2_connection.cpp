#include "lavenderhoist/net/h2_connection.hpp"

#include "lavenderhoist/net/internal/h2_callbacks.hpp"
#include "lavenderhoist/net/spawn.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <utility>

namespace lavenderhoist::net {

namespace asio = boost::asio;
using asio::redirect_error;
using asio::use_awaitable;

namespace {

constexpr std::size_t read_buffer_bytes = 16U << 10U;
constexpr std::size_t write_batch_bytes = 64U << 10U;

} // namespace

h2_connection::h2_connection(tcp::socket socket, std::size_t max_body_bytes)
    : socket_(std::move(socket)),
      max_body_bytes_(max_body_bytes),
      last_activity_(runtime_clock::now()) {
    boost::system::error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
}

h2_connection::~h2_connection() = default;

void h2_connection::adopt(internal::nghttp2_session_ptr session) {
    session_ = std::move(session);
}

h2_connection::stream* h2_connection::find_stream(std::int32_t id) {
    const auto found = streams_.find(id);
    return found == streams_.end() ? nullptr : &found->second;
}

asio::awaitable<void> h2_connection::read_loop(std::shared_ptr<h2_connection> self) {
    std::vector<std::uint8_t> buffer(read_buffer_bytes);
    boost::system::error_code failed;
    while (self->open_) {
        const auto count = co_await self->socket_.async_read_some(
            asio::buffer(buffer), redirect_error(use_awaitable, failed));
        if (failed || !self->open_) {
            break;
        }
        self->last_activity_ = runtime_clock::now();
        const auto taken = nghttp2_session_mem_recv(self->session(), buffer.data(), count);
        if (taken < 0) {
            break;
        }
        self->flush();
        if (nghttp2_session_want_read(self->session()) == 0 &&
            nghttp2_session_want_write(self->session()) == 0) {
            break;
        }
    }
    self->close();
}

void h2_connection::flush() {
    if (writing_ || !open_) {
        return;
    }
    writing_ = true;
    spawn(socket_.get_executor(), write_loop(shared_from_this()));
}

asio::awaitable<void> h2_connection::write_loop(std::shared_ptr<h2_connection> self) {
    auto& buffer = self->write_buffer_;
    boost::system::error_code failed;
    while (self->open_ && !failed) {
        buffer.clear();
        while (buffer.size() < write_batch_bytes) {
            const std::uint8_t* data = nullptr;
            const auto count = nghttp2_session_mem_send(self->session(), &data);
            if (count <= 0) {
                break;
            }
            buffer.append(reinterpret_cast<const char*>(data), static_cast<std::size_t>(count));
        }
        if (buffer.empty()) {
            break;
        }
        self->last_activity_ = runtime_clock::now();
        co_await asio::async_write(self->socket_, asio::buffer(buffer),
                                   redirect_error(use_awaitable, failed));
    }
    self->writing_ = false;
    if (failed) {
        self->close();
    }
}

void h2_connection::end_all_streams() {
    const auto streams = std::exchange(streams_, {});
    for (const auto& [id, open_stream] : streams) {
        auto copy = open_stream;
        on_stream_end(id, copy, NGHTTP2_CONNECT_ERROR);
    }
}

void h2_connection::close() {
    if (!std::exchange(open_, false)) {
        return;
    }
    boost::system::error_code ignored;
    socket_.close(ignored);
    end_all_streams();
    on_closed();
}

} // namespace lavenderhoist::net
