#include "lavenderhoist/net/byte_stream.hpp"

#include "lavenderhoist/net/internal/undelivered_bytes.hpp"

#include <array>
#include <utility>

namespace lavenderhoist::net {
namespace {

constexpr std::size_t read_buffer_bytes = 64U << 10U;

/** Maximum reads per readiness event, so that a fast peer doesn't starve other connections. */
constexpr int max_reads_per_event = 4;

/** One buffer per thread: on_bytes() has consumed its contents before the next read. */
std::array<char, read_buffer_bytes>& read_buffer() {
    thread_local std::array<char, read_buffer_bytes> buffer{};
    return buffer;
}

bool would_block(const boost::system::error_code& failed) {
    return failed == boost::asio::error::would_block || failed == boost::asio::error::try_again;
}

} // namespace

byte_stream::byte_stream(tcp::socket socket)
    : socket_(std::move(socket)), last_received_(runtime_clock::now()) {
    boost::system::error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    socket_.non_blocking(true, ignored);
}

void byte_stream::start_reading() {
    wait_readable();
}

void byte_stream::wait_readable() {
    socket_.async_wait(tcp::socket::wait_read,
                       [self = shared_from_this()](const boost::system::error_code& failed) {
                           if (!failed && self->open_) {
                               self->read_ready();
                           }
                       });
}

void byte_stream::read_ready() {
    auto& buffer = read_buffer();
    for (int i = 0; i < max_reads_per_event; ++i) {
        boost::system::error_code failed;
        const auto count = socket_.read_some(boost::asio::buffer(buffer), failed);
        if (would_block(failed)) {
            break;
        }
        if (failed == boost::asio::error::eof) {
            on_peer_finished();
            return;
        }
        if (failed) {
            end(failed);
            return;
        }
        last_received_ = runtime_clock::now();
        on_bytes({buffer.data(), count});
        if (!open_) {
            return;
        }
        if (count < buffer.size()) {
            break;
        }
    }
    wait_readable();
}

std::string_view byte_stream::write_some(std::string_view bytes) {
    if (!outgoing_.empty() || bytes.empty()) {
        return bytes;
    }
    boost::system::error_code failed;
    const auto count = socket_.write_some(boost::asio::buffer(bytes.data(), bytes.size()), failed);
    if (failed && !would_block(failed)) {
        // Reported from the event loop: the caller of send() may hold state that on_end() ends.
        boost::asio::post(socket_.get_executor(),
                          [self = shared_from_this(), failed] { self->end(failed); });
        return {};
    }
    bytes.remove_prefix(failed ? 0 : count);
    return bytes;
}

void byte_stream::send(std::string_view bytes) {
    if (!open_) {
        return;
    }
    const auto left = write_some(bytes);
    if (left.empty()) {
        return;
    }
    if (outgoing_.empty() || !outgoing_.back().body.empty()) {
        outgoing_.emplace_back();
    }
    outgoing_.back().copied += left;
    unsent_ += left.size();
    wait_writable();
}

void byte_stream::send_body(const shared_body& body) {
    if (!open_) {
        return;
    }
    const auto left = write_some(body.str());
    if (left.empty()) {
        return;
    }
    outgoing_.push_back({{}, body, body.size() - left.size()});
    unsent_ += left.size();
    wait_writable();
}

void byte_stream::wait_writable() {
    if (std::exchange(waiting_writable_, true)) {
        return;
    }
    socket_.async_wait(tcp::socket::wait_write,
                       [self = shared_from_this()](const boost::system::error_code& failed) {
                           self->waiting_writable_ = false;
                           if (!failed && self->open_) {
                               self->write_ready();
                           }
                       });
}

void byte_stream::write_ready() {
    while (!outgoing_.empty()) {
        auto& first = outgoing_.front();
        const auto left = first.left();
        boost::system::error_code failed;
        const auto count =
            socket_.write_some(boost::asio::buffer(left.data(), left.size()), failed);
        if (failed && !would_block(failed)) {
            end(failed);
            return;
        }
        const auto written = failed ? 0 : count;
        unsent_ -= written;
        if (written < left.size()) {
            first.written += written;
            // More may be appended to the segment before it is written.
            first.copied.erase(0, first.body.empty() ? std::exchange(first.written, 0) : 0);
            wait_writable();
            return;
        }
        outgoing_.erase(outgoing_.begin());
    }
    if (is_finishing_) {
        shut_down_sending();
    }
    if (open_) {
        on_writable();
    }
}

void byte_stream::finish_sending() {
    if (!open_ || std::exchange(is_finishing_, true) || !outgoing_.empty()) {
        return;
    }
    shut_down_sending();
}

void byte_stream::shut_down_sending() {
    if (has_peer_finished_) {
        end({});
        return;
    }
    boost::system::error_code ignored; // a peer that has gone ends the stream when it is read
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
}

void byte_stream::end_after_writing() {
    has_peer_finished_ = true;
    finish_sending();
}

std::size_t byte_stream::undelivered() {
    return open_ ? unsent_ + internal::undelivered_bytes(socket_) : 0;
}

void byte_stream::close() {
    if (!std::exchange(open_, false)) {
        return;
    }
    boost::system::error_code ignored;
    socket_.close(ignored);
    outgoing_.clear();
    unsent_ = 0;
}

void byte_stream::end(std::error_code failed) {
    if (!open_) {
        return;
    }
    close();
    on_end(failed);
}

} // namespace lavenderhoist::net
