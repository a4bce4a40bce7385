#include "lavenderhoist/net/http_client.hpp"

#include "lavenderhoist/core/error.hpp"
#include "lavenderhoist/net/cancel_scope.hpp"
#include "lavenderhoist/net/deadline_guard.hpp"
#include "lavenderhoist/net/internal/beast_convert.hpp"
#include "lavenderhoist/net/internal/http_feed.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <utility>

namespace lavenderhoist::net {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::redirect_error;
using asio::use_awaitable;

struct http_client::connection {
    explicit connection(const asio::any_io_executor& executor) : socket(executor) {}

    tcp::socket socket;
    boost::beast::flat_buffer buffer;
};

struct http_client::shared_state {
    limits bounds;
    std::vector<std::unique_ptr<connection>> idle;
    std::size_t open{0};
};

namespace {

/** True if the peer has closed an idle connection, or has sent unsolicited bytes. */
bool is_stale(tcp::socket& socket) {
    if (!socket.is_open()) {
        return true;
    }
    boost::system::error_code failed;
    socket.non_blocking(true, failed);
    char byte = 0;
    socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, failed);
    return failed != asio::error::would_block;
}

} // namespace

http_client::http_client(asio::any_io_executor executor, tcp::endpoint server, limits bounds)
    : executor_(std::move(executor)),
      server_(std::move(server)),
      state_(std::make_shared<shared_state>()) {
    state_->bounds = bounds;
}

http_client::~http_client() = default;

std::size_t http_client::open_connections() const noexcept {
    return state_->open;
}

void http_client::close_idle() {
    state_->open -= state_->idle.size();
    state_->idle.clear();
}

asio::awaitable<void> http_client::warm(std::size_t count, time_point deadline) {
    const auto state = state_;
    while (state->open < count) {
        auto fresh = std::make_unique<connection>(executor_);
        ++state->open;
        boost::system::error_code failed;
        {
            const deadline_guard guard(fresh->socket, deadline);
            co_await fresh->socket.async_connect(server_, redirect_error(use_awaitable, failed));
        }
        if (failed) {
            --state->open;
            co_return;
        }
        fresh->socket.set_option(tcp::no_delay(true), failed);
        state->idle.push_back(std::move(fresh));
    }
}

asio::awaitable<exchange_result> http_client::exchange(const request& message, time_point deadline,
                                                       cancellation_ptr cancelled) {
    const auto state = state_;
    exchange_result result;
    result.never_processed = true;

    std::unique_ptr<connection> used;
    while (!used && !state->idle.empty()) {
        used = std::move(state->idle.back());
        state->idle.pop_back();
        if (is_stale(used->socket)) {
            used.reset();
            --state->open;
        }
    }
    if (!used && state->open >= state->bounds.max_connections) {
        result.code = errc::overloaded;
        co_return result;
    }
    const bool is_new = !used;
    if (is_new) {
        used = std::make_unique<connection>(executor_);
        ++state->open;
    }

    boost::system::error_code failed;
    const auto outgoing = internal::to_beast(message, server_.address().to_string());
    std::optional<http::response_parser<http::string_body>> parser;
    {
        const deadline_guard guard(used->socket, deadline);
        if (!cancelled) {
            cancelled = std::make_shared<cancellation>();
        }
        const cancel_scope scope(*cancelled, [&used] {
            boost::system::error_code ignored;
            used->socket.close(ignored);
        });
        if (is_new) {
            co_await used->socket.async_connect(server_, redirect_error(use_awaitable, failed));
            if (!failed) {
                boost::system::error_code ignored;
                used->socket.set_option(tcp::no_delay(true), ignored);
            }
        }
        if (!failed && !cancelled->is_cancelled()) {
            result.never_processed = false;
            co_await http::async_write(used->socket, outgoing,
                                       redirect_error(use_awaitable, failed));
        }
        if (!failed && !cancelled->is_cancelled()) {
            failed = co_await internal::read_answer(used->socket, used->buffer, parser,
                                                    state->bounds.max_body_bytes);
        }
        if (cancelled->is_cancelled()) {
            result.code = errc::cancelled;
        } else if (guard.expired()) {
            result.code = errc::deadline_passed;
        } else if (failed) {
            result.code = errc::target_lost;
        }
    }
    if (result.code) {
        --state->open;
        co_return result;
    }
    const bool is_reusable = parser->get().keep_alive() && used->buffer.size() == 0;
    result.answer = internal::from_beast(parser->release());
    if (is_reusable) {
        state->idle.push_back(std::move(used));
    } else {
        --state->open;
    }
    co_return result;
}

} // namespace lavenderhoist::net
