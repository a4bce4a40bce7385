#include "lavenderhoist/net/h2_client.hpp"

#include "lavenderhoist/core/error.hpp"
#include "lavenderhoist/net/cancel_scope.hpp"
#include "lavenderhoist/net/deadline_guard.hpp"
#include "lavenderhoist/net/internal/h2_callbacks.hpp"
#include "lavenderhoist/net/spawn.hpp"

#include <optional>
#include <utility>
#include <vector>

namespace lavenderhoist::net {

namespace asio = boost::asio;
using asio::redirect_error;
using asio::use_awaitable;

asio::awaitable<std::shared_ptr<h2_client>> h2_client::connect(asio::any_io_executor executor,
                                                               tcp::endpoint peer,
                                                               std::size_t max_body_bytes,
                                                               time_point deadline) {
    tcp::socket socket(executor);
    boost::system::error_code failed;
    {
        const deadline_guard guard(socket, deadline);
        co_await socket.async_connect(peer, redirect_error(use_awaitable, failed));
    }
    if (failed || !socket.is_open()) {
        co_return nullptr;
    }
    auto made = std::make_shared<h2_client>(std::move(socket), max_body_bytes);
    made->start();
    co_return made;
}

h2_client::h2_client(tcp::socket socket, std::size_t max_body_bytes, memory_pool_ptr memory)
    : h2_connection(std::move(socket), max_body_bytes, std::move(memory)) {
    set_session(internal::make_session(*this, false));
}

std::int32_t h2_client::submit(const request& message, done_handler done) {
    if (!is_usable()) {
        return -1;
    }
    headers fields{{":method", message.method},
                   {":scheme", "http"},
                   {":authority", message.host.empty() ? "node" : message.host},
                   {":path", message.path}};
    fields.insert(fields.end(), message.fields.begin(), message.fields.end());
    const auto encoded = internal::to_nghttp2(fields);
    const auto provider = internal::body_provider();
    const auto id = nghttp2_submit_request(session(), nullptr, encoded.data(), encoded.size(),
                                           message.body.empty() ? nullptr : &provider, nullptr);
    if (id < 0) {
        return id;
    }
    add_stream(id).outgoing_body = message.body;
    pending_.emplace(id, std::move(done));
    flush();
    return id;
}

void h2_client::cancel(std::int32_t id) {
    if (pending_.erase(id) == 0 || !is_open()) {
        return;
    }
    nghttp2_submit_rst_stream(session(), NGHTTP2_FLAG_NONE, id, NGHTTP2_CANCEL);
    flush();
}

asio::awaitable<exchange_result> h2_client::exchange(const request& message, time_point deadline,
                                                     cancellation_ptr cancelled) {
    const auto self = shared_from_this();
    exchange_result result;
    if (cancelled && cancelled->is_cancelled()) {
        result.code = errc::cancelled;
        result.never_processed = true;
        co_return result;
    }
    const auto done = std::make_shared<signal>(co_await asio::this_coro::executor);
    const auto received = std::make_shared<std::optional<exchange_result>>();
    const auto id = submit(message, [done, received](exchange_result answer) {
        *received = std::move(answer);
        done->set();
    });
    if (id < 0) {
        result.code = errc::peer_lost;
        result.never_processed = true;
        co_return result;
    }
    if (!cancelled) {
        cancelled = std::make_shared<cancellation>();
    }
    {
        const cancel_scope scope(*cancelled, [done] { done->set(); });
        co_await done->wait(deadline);
    }
    if (*received) {
        co_return std::move(**received);
    }
    cancel(id);
    result.code = cancelled->is_cancelled() ? errc::cancelled : errc::deadline_passed;
    co_return result;
}

void h2_client::finish(std::int32_t id, exchange_result result) {
    auto waiting = pending_.extract(id);
    if (!waiting.empty()) {
        waiting.mapped()(std::move(result));
    }
}

void h2_client::on_message(std::int32_t id, stream& finished) {
    exchange_result result;
    result.answer.status = finished.status;
    result.answer.fields = std::move(finished.fields);
    result.answer.body = std::move(finished.body);
    if (finished.sent < finished.outgoing_body.size()) { // the answer did not wait for the body
        nghttp2_submit_rst_stream(session(), NGHTTP2_FLAG_NONE, id, NGHTTP2_CANCEL);
        flush();
    }
    finish(id, std::move(result));
}

void h2_client::on_refused(std::int32_t id, stream& /*refused*/) {
    nghttp2_submit_rst_stream(session(), NGHTTP2_FLAG_NONE, id, NGHTTP2_ENHANCE_YOUR_CALM);
    flush();
    exchange_result result;
    result.code = errc::bad_answer;
    finish(id, std::move(result));
}

void h2_client::on_stream_end(std::int32_t id, stream& /*ended*/, std::uint32_t error_code) {
    exchange_result result;
    result.code = errc::peer_lost;
    result.never_processed = error_code == NGHTTP2_REFUSED_STREAM && !has_peer_failed_;
    finish(id, std::move(result));
}

void h2_client::on_goaway(std::int32_t last_stream_id, std::uint32_t error_code) {
    is_peer_draining_ = true;
    // After an error, nghttp2 on the peer still delivers streams that arrive before the GOAWAY
    // frame is written, so streams above its last stream id may have been processed.
    has_peer_failed_ = has_peer_failed_ || error_code != NGHTTP2_NO_ERROR;
    if (has_peer_failed_) {
        return;
    }
    std::vector<std::int32_t> unprocessed;
    for (const auto& [id, done] : pending_) {
        if (id > last_stream_id) {
            unprocessed.push_back(id);
        }
    }
    for (const auto id : unprocessed) {
        exchange_result result;
        result.code = errc::peer_lost;
        result.never_processed = true;
        finish(id, std::move(result));
    }
}

void h2_client::on_closed() {
    is_peer_draining_ = true;
}

} // namespace lavenderhoist::net
