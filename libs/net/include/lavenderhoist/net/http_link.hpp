#pragma once

#include "lavenderhoist/net/byte_stream.hpp"
#include "lavenderhoist/net/exchange_result.hpp"
#include "lavenderhoist/net/message.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace lavenderhoist::net {

/**
 * \brief The client end of one HTTP/1.1 connection, with one exchange at a time.
 *
 * A faulty server may send a duplicate or late answer. An answer is therefore accepted only if it
 * echoes the header field that identifies the request; others are dropped. A connection whose
 * exchange failed is closed and never reused.
 */
class http_link final : public byte_stream {
public:
    /** \brief The header field that an answer must echo. */
    struct echo {
        std::string field;
        std::string value;
    };

    using done_handler = std::function<void(exchange_result)>;
    /** \brief Called once when the connection has closed and must not be used again; no exchange is
     * in flight then. */
    using lost_handler = std::function<void(http_link&)>;

    explicit http_link(tcp::socket socket, std::size_t max_body_bytes);
    http_link(const http_link&) = delete;
    http_link& operator=(const http_link&) = delete;
    ~http_link() override;

    /** \brief Begins to read. \param on_growth is called whenever the bytes held of an incomplete
     * answer have grown by another growth_step; it may call abort(). */
    void start(lost_handler lost, std::function<void()> on_growth = nullptr);

    static constexpr std::size_t growth_step = 1U << 20U;

    /**
     * \brief Sends a request and reads its answer. Precondition: is_idle().
     *
     * Without an answer the result is `target_lost` if the connection ended, `bad_answer` if the
     * answer was malformed or incomplete; the request may have run in both cases.
     */
    void exchange(const request& message, const echo& expected, done_handler done);

    /** \brief Closes the connection; the handler of the exchange is not called. */
    void abandon();

    /** \brief Fails the exchange in flight, if any, with `cause` and closes the connection. */
    void abort(std::error_code cause);

    /** \brief Bytes held of an answer that is not complete yet. */
    std::size_t received() const noexcept;

    bool is_idle() const noexcept { return is_open() && !done_; }

    /** \brief When the last exchange ended. */
    time_point idle_since() const noexcept { return idle_since_; }

    /** \brief How long the server keeps idle connections, if its Keep-Alive field states it. */
    std::optional<duration> idle_limit() const noexcept { return idle_limit_; }

private:
    struct reading;

    void on_bytes(std::string_view bytes) override;
    void on_end(std::error_code failed) override;
    void parse();
    void notify_growth();
    void finish_answer();
    void fail(std::error_code cause);
    void close_and_notify();

    std::size_t max_body_bytes_;
    lost_handler on_lost_;
    std::function<void()> on_growth_;
    std::size_t notified_bytes_{0}; ///< Bytes held at the last call of `on_growth_`.
    done_handler done_;
    echo expected_;
    std::string buffer_;
    std::unique_ptr<reading> reading_;
    time_point idle_since_;
    std::optional<duration> idle_limit_;
    int unmatched_answers_{0};
    int interim_answers_{0};
    bool is_head_{false};
};

} // namespace lavenderhoist::net
