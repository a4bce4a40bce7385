#include "lavenderhoist/net/h2_client.hpp"

#include "lavenderhoist/core/error.hpp"
#include "lavenderhoist/net/cancel_scope.hpp"
#include "lavenderhoist/net/deadline_guard.hpp"
#include "lavenderhoist/net/internal/h2_callbacks.hpp"
#include "lavenderhoist/net/spawn.hpp"

#include <utility>

namespace lavenderhoist::net {

namespace asio = boost::asio;
using asio::redirect_error;
using asio::use_awaitable;

/** A request that waits for its response. */
struct h2_client::pending {
    explicit pending(const asio::any_io_executor& executor) : done(executor) {}

    signal done;
    exchange_result result;
    bool answered{false};
};

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
    spawn(executor, read_loop(made));
    made->flush();
    co_return made;
}

h2_client::h2_client(tcp::socket socket, std::size_t max_body_bytes)
    : h2_connection(std::move(socket), max_body_bytes) {
    adopt(internal::make_session(*this, false));
}

asio::awaitable<exchange_result> h2_client::exchange(const request& message, time_point deadline,
                                                     cancellation_ptr cancelled) {
    const auto self = shared_from_this();
    const auto executor = co_await asio::this_coro::executor;
    exchange_result result;
    if (!is_usable() || (cancelled && cancelled->is_cancelled())) {
        result.code = is_usable() ? errc::cancelled : errc::peer_lost;
        result.never_processed = true;
        co_return result;
    }
    headers fields{{":method", message.method},
                   {":scheme", "http"},
                   {":authority", "node"},
                   {":path", message.path}};
    fields.insert(fields.end(), message.fields.begin(), message.fields.end());
    const auto encoded = internal::to_nghttp2(fields);
    const auto provider = internal::body_provider();
    const auto id = nghttp2_submit_request(session(), nullptr, encoded.data(), encoded.size(),
                                           message.body.empty() ? nullptr : &provider, nullptr);
    if (id < 0) {
        result.code = errc::peer_lost;
        result.never_processed = true;
        co_return result;
    }
    add_stream(id).outgoing_body = message.body;
    const auto waiting = std::make_shared<pending>(executor);
    pending_[id] = waiting;
    flush();

    if (!cancelled) {
        cancelled = std::make_shared<cancellation>();
    }
    {
        const cancel_scope scope(*cancelled, [waiting] { waiting->done.set(); });
        co_await waiting->done.wait(deadline);
    }
    pending_.erase(id);
    if (waiting->answered || waiting->result.code) {
        co_return std::move(waiting->result);
    }
    if (is_open()) {
        nghttp2_submit_rst_stream(session(), NGHTTP2_FLAG_NONE, id, NGHTTP2_CANCEL);
        flush();
    }
    result.code = cancelled->is_cancelled() ? errc::cancelled : errc::deadline_passed;
    co_return result;
}

void h2_client::on_message(std::int32_t id, stream& finished) {
    const auto found = pending_.find(id);
    if (found == pending_.end()) {
        return;
    }
    auto& waiting = *found->second;
    waiting.answered = true;
    waiting.result.answer.status = finished.status;
    waiting.result.answer.fields = std::move(finished.fields);
    waiting.result.answer.body = std::move(finished.body);
    waiting.done.set();
}

void h2_client::on_stream_end(std::int32_t id, stream& /*ended*/, std::uint32_t error_code) {
    const auto found = pending_.find(id);
    if (found == pending_.end() || found->second->answered) {
        return;
    }
    auto& waiting = *found->second;
    waiting.result.code = errc::peer_lost;
    waiting.result.never_processed = error_code == NGHTTP2_REFUSED_STREAM;
    waiting.done.set();
}

void h2_client::on_goaway(std::int32_t last_stream_id) {
    peer_is_leaving_ = true;
    for (const auto& [id, waiting] : pending_) {
        if (id <= last_stream_id || waiting->answered) {
            continue;
        }
        waiting->result.code = errc::peer_lost;
        waiting->result.never_processed = true;
        waiting->done.set();
    }
}

void h2_client::on_closed() {
    peer_is_leaving_ = true;
}

} // namespace lavenderhoist::net
