#include "lavenderhoist/net/http_link.hpp"

#include "lavenderhoist/core/error.hpp"
#include "lavenderhoist/net/internal/beast_convert.hpp"
#include "lavenderhoist/net/internal/http_feed.hpp"

#include <charconv>
#include <utility>

namespace lavenderhoist::net {

namespace http = boost::beast::http;

namespace {

/** Answers to other requests that are skipped in one exchange before the connection is closed. */
constexpr int max_unmatched_answers = 2;

constexpr std::uint32_t max_header_bytes = 64U << 10U;

/** The `timeout` parameter of a Keep-Alive field (RFC 2068 section 19.7.1.1). */
std::optional<duration> keep_alive_timeout(std::string_view value) {
    constexpr std::string_view name = "timeout=";
    const auto at = value.find(name);
    if (at == std::string_view::npos) {
        return std::nullopt;
    }
    value.remove_prefix(at + name.size());
    int seconds = 0;
    const auto parsed = std::from_chars(value.data(), value.data() + value.size(), seconds);
    if (parsed.ec != std::errc()) {
        return std::nullopt;
    }
    return std::chrono::seconds(seconds);
}

} // namespace

/** The answer that is being received. */
struct http_link::reading {
    http::response_parser<http::string_body> parser;
};

http_link::http_link(tcp::socket socket, std::size_t max_body_bytes)
    : byte_stream(std::move(socket)),
      max_body_bytes_(max_body_bytes),
      idle_since_(runtime_clock::now()) {}

http_link::~http_link() = default;

void http_link::start(lost_handler lost, std::function<void()> on_growth) {
    on_lost_ = std::move(lost);
    on_growth_ = std::move(on_growth);
    start_reading();
}

void http_link::exchange(const request& message, const echo& expected, done_handler done) {
    expected_ = expected;
    done_ = std::move(done);
    unmatched_answers_ = 0;
    interim_answers_ = 0;
    notified_bytes_ = 0;
    is_head_ = message.method == "HEAD";
    if (message.body.size() <= internal::max_copied_body_bytes) {
        send(internal::serialize(internal::to_beast(message, message.host)));
        return;
    }
    send(internal::serialize_head(message, message.body.size()));
    send_body(message.body);
}

std::size_t http_link::received() const noexcept {
    return buffer_.size() + (reading_ ? reading_->parser.get().body().size() : 0);
}

void http_link::abort(std::error_code cause) {
    if (done_) {
        fail(cause);
    }
}

void http_link::abandon() {
    done_ = nullptr;
    close_and_notify();
}

void http_link::close_and_notify() {
    close();
    if (const auto lost = std::exchange(on_lost_, nullptr)) {
        lost(*this);
    }
}

void http_link::on_bytes(std::string_view bytes) {
    if (!done_) {
        close_and_notify(); // unsolicited bytes
        return;
    }
    buffer_ += bytes;
    parse();
}

void http_link::parse() {
    while (done_ && !buffer_.empty()) {
        if (!reading_) {
            reading_ = std::make_unique<reading>();
            reading_->parser.eager(true);
            reading_->parser.header_limit(max_header_bytes);
            reading_->parser.body_limit(max_body_bytes_);
            reading_->parser.skip(is_head_);
        }
        auto& parser = reading_->parser;
        boost::system::error_code failed;
        buffer_.erase(0, internal::feed(parser, buffer_, failed));
        const bool has_status = parser.is_header_done();
        if (failed || (has_status && !internal::is_valid_status(parser.get().result_int()))) {
            fail(errc::bad_answer);
            return;
        }
        if (!parser.is_done()) {
            if (buffer_.size() > internal::max_unparsed_bytes) {
                fail(errc::bad_answer);
                return;
            }
            notify_growth();
            return;
        }
        finish_answer();
    }
}

void http_link::notify_growth() {
    if (on_growth_ && received() >= notified_bytes_ + growth_step) {
        notified_bytes_ = received();
        on_growth_();
    }
}

void http_link::finish_answer() {
    const auto whole = std::exchange(reading_, nullptr);
    const auto& parsed = whole->parser.get();
    constexpr unsigned first_final_status = 200;
    if (parsed.result_int() < first_final_status) {
        if (++interim_answers_ > internal::max_interim_answers) {
            fail(errc::bad_answer);
        }
        return;
    }
    const bool is_reusable = parsed.keep_alive() && unsent() == 0;
    if (parsed[expected_.field] != expected_.value) {
        if (++unmatched_answers_ > max_unmatched_answers || !is_reusable) {
            fail(errc::bad_answer);
        }
        return;
    }
    idle_limit_ = keep_alive_timeout(std::string_view(parsed[http::field::keep_alive]));
    exchange_result result;
    result.answer = internal::from_beast(whole->parser.release());
    idle_since_ = runtime_clock::now();
    const auto done = std::exchange(done_, nullptr);
    const auto self = shared_from_this();
    // Bytes after the answer are unsolicited, and unsent ones would be read as the next request.
    if (!is_reusable || !buffer_.empty()) {
        close_and_notify();
    }
    done(std::move(result));
}

void http_link::on_end(std::error_code failed) {
    if (!done_) {
        close_and_notify();
        return;
    }
    if (reading_ && !failed) {
        boost::system::error_code parse_failed;
        reading_->parser.put_eof(parse_failed);
        if (!parse_failed && reading_->parser.is_done()) {
            finish_answer();
        }
    }
    if (done_) {
        fail(reading_ ? errc::bad_answer : errc::target_lost);
    }
}

void http_link::fail(std::error_code cause) {
    const auto self = shared_from_this();
    const auto done = std::exchange(done_, nullptr);
    close_and_notify();
    exchange_result result;
    result.code = cause;
    done(std::move(result));
}

} // namespace lavenderhoist::net
