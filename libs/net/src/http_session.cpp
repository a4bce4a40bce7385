#include "lavenderhoist/net/http_session.hpp"

#include "lavenderhoist/net/internal/beast_convert.hpp"
#include "lavenderhoist/net/internal/http_feed.hpp"

#include <algorithm>
#include <utility>

namespace lavenderhoist::net {

namespace http = boost::beast::http;

namespace {

constexpr int status_bad_request = 400;
constexpr int status_timeout = 408;
constexpr int status_too_large = 413;
constexpr int status_header_too_large = 431;
constexpr int status_unavailable = 503;

/** How long a connection is still read after its last answer has been acknowledged: the reset that
 * follows a byte on its way to a closed socket could overtake the caller's reading. */
constexpr duration close_linger = std::chrono::seconds(1);

/** After which time, in seconds, a caller that was refused for lack of memory is to return. */
constexpr const char* refused_retry_after = "0.250";

/** Capacity that an empty buffer keeps: thousands of sessions would hold 64 KiB each otherwise. */
constexpr std::size_t max_idle_buffer_bytes = 8U << 10U;

/** Chunked bodies above this size are given space for the largest one at once. Pages that are not
 * written take no memory; a string that grows holds its bytes twice for a moment. */
constexpr std::size_t min_reserved_body_bytes = 1U << 20U;

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
    std::size_t head_bytes{0};
    bool has_sent_continue{false};
    bool has_checked_length{false};
};

http_session::http_session(tcp::socket socket, std::shared_ptr<const http_limits> bounds,
                           std::shared_ptr<const events> handlers, memory_pool_ptr memory)
    : byte_stream(std::move(socket)),
      bounds_(std::move(bounds)),
      handlers_(std::move(handlers)),
      memory_(std::move(memory)),
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
    if (!is_request_pending_) {
        buffer_ += bytes;
        parse();
    } else if (buffer_.size() + bytes.size() > max_pipelined_bytes) {
        stop_receiving();
    } else {
        buffer_ += bytes;
        count_received();
    }
}

/** Discards what has arrived behind the running request, and what arrives from now on. Its answer
 * says that the connection closes, which tells the caller that nothing behind it was read. */
void http_session::stop_receiving() {
    closing_ = true;
    is_keep_alive_ = false;
    buffer_ = {};
    received_charge_.reset();
}

/** Counts what is held of requests that are not complete. May refuse this one. */
void http_session::count_received() {
    if (!memory_) {
        return;
    }
    const auto held = buffer_.size() +
                      (reading_ ? reading_->head_bytes + reading_->parser.get().body().size() : 0);
    if (held < memory_charge::min_counted_bytes) {
        received_charge_.reset();
        return;
    }
    if (!received_charge_) {
        received_charge_ =
            memory_charge(memory_, [this](memory_account::decision what) { refuse(what); });
    }
    received_charge_.resize(held);
}

void http_session::refuse(memory_account::decision what) {
    received_charge_.reset();
    if (is_request_pending_) {
        stop_receiving();
    } else if (what == memory_account::decision::too_large) {
        reject(status_too_large, "message is larger than the node's memory allows");
    } else {
        reject(status_unavailable, "no memory for the message", true);
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
    if (buffer_.empty() && buffer_.capacity() > max_idle_buffer_bytes) {
        buffer_ = {};
    }
    if (is_open() && !closing_) {
        count_received();
    }
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
    const bool is_reading_head = !parser.is_header_done();
    const auto used = internal::feed(parser, buffer_, failed);
    buffer_.erase(0, used);
    if (is_reading_head) {
        reading_->head_bytes += used - std::min(used, parser.get().body().size());
    }
    if (failed) {
        reject(status_of(failed), failed.message());
        return false;
    }
    if (parser.is_header_done() && !internal::has_known_framing(parser.get())) {
        reject(status_bad_request, "transfer coding is not supported");
        return false;
    }
    if (parser.is_done()) {
        count_received();
        if (closing_) {
            return false;
        }
        finish_request();
        return true;
    }
    auto& body = parser.get().body();
    if (body.size() > min_reserved_body_bytes && body.capacity() < bounds_->max_body_bytes &&
        parser.chunked()) {
        body.reserve(bounds_->max_body_bytes);
    }
    if (parser.is_header_done() && !std::exchange(reading_->has_checked_length, true)) {
        const auto announced = parser.content_length().value_or(0);
        const auto what = memory_
                              ? memory_->account().on_announced(static_cast<std::size_t>(announced))
                              : memory_account::decision::accept;
        if (what != memory_account::decision::accept) {
            refuse(what);
            return false;
        }
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
    auto body = std::move(parsed.body());
    auto message = internal::from_beast(whole->parser.release());
    message.host = host;
    received_charge_.retain();
    received_charge_.resize(body.size());
    message.body = shared_body(std::move(body), std::exchange(received_charge_, {}));
    is_request_pending_ = true;
    state_since_ = runtime_clock::now();
    handlers_->on_request(self(), std::move(message));
}

void http_session::answer(response message, bool keep_alive) {
    if (!is_open()) {
        return;
    }
    is_request_pending_ = false;
    state_since_ = runtime_clock::now();
    keep_alive = keep_alive && is_keep_alive_;
    if (message.body.size() <= internal::max_copied_body_bytes) {
        send(internal::serialize(internal::to_beast(message, keep_alive)));
    } else {
        send(internal::serialize_head(message, keep_alive, message.body.size()));
        send_body(shared_body(std::move(message.body)));
    }
    count_unsent();
    if (!keep_alive) {
        begin_close();
        return;
    }
    parse();
}

/** Reads no further request, and closes once the caller has what was sent. */
void http_session::begin_close() {
    closing_ = true;
    state_since_ = runtime_clock::now();
    finish_sending();
}

/** When the state of the session, or what its caller has taken of the answers, last changed. */
time_point http_session::last_progress(time_point now) {
    if (const auto left = undelivered(); left != std::exchange(undelivered_, left)) {
        progress_at_ = now;
    }
    return std::max(state_since_, progress_at_);
}

/** Counts an answer that the caller is slow to read. */
void http_session::count_unsent() {
    if (!memory_ || unsent() < memory_charge::min_counted_bytes) {
        return;
    }
    if (!unsent_charge_) {
        unsent_charge_ = memory_charge(memory_, [this](memory_account::decision /*what*/) {
            const auto keep_alive = self();
            unsent_charge_.reset();
            abort();
            handlers_->on_gone(keep_alive);
        });
    }
    unsent_charge_.resize(unsent());
}

void http_session::abort() {
    is_request_pending_ = false;
    close();
}

void http_session::reject(int status, std::string_view reason, bool may_return) {
    reading_.reset();
    buffer_ = {};
    received_charge_.reset();
    handlers_->on_rejected(status, reason);
    response message;
    message.status = status;
    if (may_return) {
        message.fields.push_back({"retry-after", refused_retry_after});
    }
    send(internal::serialize(internal::to_beast(message, false)));
    begin_close();
}

void http_session::on_peer_finished() {
    if (is_request_pending_ || unsent() == 0) {
        end({});
        return;
    }
    reading_.reset();
    buffer_ = {};
    received_charge_.reset();
    closing_ = true;
    state_since_ = runtime_clock::now();
    end_after_writing();
}

void http_session::on_end(std::error_code /*failed*/) {
    received_charge_.reset();
    unsent_charge_.reset();
    handlers_->on_gone(self());
}

void http_session::check_time(time_point now) {
    if (!is_open()) {
        return;
    }
    if (closing_ && !is_request_pending_) {
        const auto unchanged_for = now - last_progress(now);
        if (unchanged_for > (undelivered_ == 0 ? close_linger : bounds_->idle_timeout)) {
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
    if (is_idle && now - state_since_ > bounds_->idle_timeout &&
        now - last_progress(now) > bounds_->idle_timeout) {
        close();
        handlers_->on_gone(self());
    }
}

void http_session::close_if_idle() {
    if (!is_open() || closing_ || is_request_pending_ || reading_) {
        return;
    }
    if (undelivered() > 0) {
        begin_close();
        return;
    }
    close();
    handlers_->on_gone(self());
}

} // namespace lavenderhoist::net
