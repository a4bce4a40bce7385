#include "lavenderhoist/net/http_session.hpp"

#include "lavenderhoist/net/internal/beast_convert.hpp"
#include "lavenderhoist/net/internal/http_feed.hpp"

#include <utility>

namespace lavenderhoist::net {

namespace http = boost::beast::http;

namespace {

constexpr int status_bad_request = 400;
constexpr int status_timeout = 408;
constexpr int status_too_large = 413;
constexpr int status_header_too_large = 431;

/** How long a rejected connection is still read: closing it with unread bytes would reset it, and
 * the caller could lose the answer. */
constexpr duration reject_linger = std::chrono::seconds(1);

/** Pipelined bytes kept while a request is being answered. */
constexpr std::size_t max_pipelined_bytes = 256U << 10U;

int status_of(const boost::system::error_code& failed) {
    if (failed == http::error::body_limit) {
        return status_too_large;
    }
    return failed == http::error::header_limit ? status_header_too_large : status_bad_request;
}

} // namespace

/** The request that is being received. */
struct http_session::reading {
    http::request_parser<http::string_body> parser;
    bool has_sent_continue{false};
};

http_session::http_session(tcp::socket socket, std::shared_ptr<const http_limits> bounds,
                           std::shared_ptr<const events> handlers)
    : byte_stream(std::move(socket)),
      bounds_(std::move(bounds)),
      handlers_(std::move(handlers)),
      state_since_(runtime_clock::now()) {
    boost::system::error_code ignored;
    peer_ = this->socket().remote_endpoint(ignored);
}

http_session::~http_session() = default;

std::shared_ptr<http_session> http_session::self() {
    return std::static_pointer_cast<http_session>(shared_from_this());
}

bool http_session::is_receiving() const noexcept {
    return reading_ != nullptr;
}

void http_session::on_bytes(std::string_view bytes) {
    if (closing_) {
        return;
    }
    buffer_ += bytes;
    if (!is_request_pending_) {
        parse();
    } else if (buffer_.size() > max_pipelined_bytes) {
        abort();
        handlers_->on_gone(self());
    }
}

void http_session::parse() {
    if (is_parsing_) {
        return; // a request was answered within its handler: the loop below goes on
    }
    const auto keep_alive = self();
    is_parsing_ = true;
    while (!buffer_.empty() && !is_request_pending_ && !closing_ && is_open() && parse_next()) {
    }
    is_parsing_ = false;
}

/** Takes what the buffer holds of one request. \returns true if that was all of it. */
bool http_session::parse_next() {
    if (!reading_) {
        reading_ = std::make_unique<reading>();
        reading_->parser.eager(true);
        reading_->parser.header_limit(static_cast<std::uint32_t>(bounds_->max_header_bytes));
        reading_->parser.body_limit(bounds_->max_body_bytes);
        state_since_ = runtime_clock::now();
    }
    auto& parser = reading_->parser;
    boost::system::error_code failed;
    buffer_.erase(0, internal::feed(parser, buffer_, failed));
    if (failed) {
        reject(status_of(failed), failed.message());
        return false;
    }
    if (parser.is_header_done() && !internal::has_known_framing(parser.get())) {
        reject(status_bad_request, "transfer coding is not supported");
        return false;
    }
    if (parser.is_done()) {
        finish_request();
        return true;
    }
    if (buffer_.size() > internal::max_unparsed_bytes) {
        reject(status_bad_request, "chunk head or trailer is too long");
        return false;
    }
    const bool expects_continue = parser.is_header_done() && !reading_->has_sent_continue &&
                                  parser.get()[http::field::expect] == "100-continue";
    if (expects_continue) {
        reading_->has_sent_continue = true;
        send("HTTP/1.1 100 Continue\r\n\r\n");
    }
    return false;
}

void http_session::finish_request() {
    const auto whole = std::exchange(reading_, nullptr);
    auto& parsed = whole->parser.get();
    is_keep_alive_ = parsed.keep_alive();
    parsed.erase(http::field::expect);
    const std::string host(parsed[http::field::host]);
    auto message = internal::from_beast(whole->parser.release());
    message.host = host;
    is_request_pending_ = true;
    state_since_ = runtime_clock::now();
    handlers_->on_request(self(), std::move(message));
}

void http_session::answer(const response& message, bool keep_alive) {
    if (!is_open()) {
        return;
    }
    is_request_pending_ = false;
    state_since_ = runtime_clock::now();
    keep_alive = keep_alive && is_keep_alive_;
    send(internal::serialize(internal::to_beast(message, keep_alive)));
    if (!keep_alive) {
        closing_ = true;
        close_after_writing();
        return;
    }
    parse();
}

void http_session::abort() {
    is_request_pending_ = false;
    close();
}

void http_session::reject(int status, std::string_view reason) {
    reading_.reset();
    closing_ = true;
    state_since_ = runtime_clock::now();
    handlers_->on_rejected(status, reason);
    response message;
    message.status = status;
    send(internal::serialize(internal::to_beast(message, false)));
    boost::system::error_code ignored;
    socket().shutdown(tcp::socket::shutdown_send, ignored);
}

void http_session::on_end(std::error_code /*failed*/) {
    handlers_->on_gone(self());
}

void http_session::check_time(time_point now) {
    if (!is_open()) {
        return;
    }
    if (closing_) {
        if (now - state_since_ > reject_linger && unsent() == 0) {
            close();
            handlers_->on_gone(self());
        }
        return;
    }
    if (reading_ && now - state_since_ > bounds_->header_timeout) {
        reject(status_timeout, "request not complete in time");
        return;
    }
    const bool is_idle = !is_request_pending_ && !reading_;
    if (is_idle && now - state_since_ > bounds_->idle_timeout) {
        close();
        handlers_->on_gone(self());
    }
}

void http_session::close_if_idle() {
    if (is_open() && !is_request_pending_ && !reading_ && unsent() == 0) {
        close();
        handlers_->on_gone(self());
    }
}

} // namespace lavenderhoist::net
