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
 * \brief The client end of one HTTP/1.1 connection: one exchange at a time, matched by an echo.
 *
 * A server may send answers that belong to nobody: a second one, or one that comes late. So an
 * answer counts only if it repeats the field by which the request is known; others are dropped. A
 * connection whose exchange failed is closed and never used again.
 */
class http_link final : public byte_stream {
public:
    /** \brief The field that an answer must repeat. */
    struct echo {
        std::string field;
        std::string value;
    };

    using done_handler = std::function<void(exchange_result)>;
    /** \brief The connection has ended, or is of no more use, while no exchange was under way. */
    using lost_handler = std::function<void(http_link&)>;

    explicit http_link(tcp::socket socket, std::size_t max_body_bytes);
    http_link(const http_link&) = delete;
    http_link& operator=(const http_link&) = delete;
    ~http_link() override;

    /** \brief Begins to read. \param grown is called whenever another growth_step bytes are held of
     * an answer that is not whole yet; it may break the exchange off. */
    void start(lost_handler lost, std::function<void()> grown = nullptr);

    static constexpr std::size_t growth_step = 1U << 20U;

    /**
     * \brief Sends a request and reads its answer. Precondition: is_idle().
     *
     * Without an answer the result tells `target_lost` if the connection ended, `bad_answer` if
     * what came was no whole answer; the request may have run in both cases.
     */
    void exchange(const request& message, const echo& expected, done_handler done);

    /** \brief Closes the connection; the handler of the exchange is not called. */
    void abandon();

    /** \brief Ends the exchange under way, if any, with `cause`, and closes the connection. */
    void abort(std::error_code cause);

    /** \brief Bytes held of an answer that is not whole yet. */
    std::size_t received() const noexcept;

    bool is_idle() const noexcept { return is_open() && !done_; }

    /** \brief When the last exchange ended. */
    time_point idle_since() const noexcept { return idle_since_; }

    /** \brief How long the server keeps idle connections, if it has said so. */
    std::optional<duration> idle_limit() const noexcept { return idle_limit_; }

private:
    struct reading;

    void on_bytes(std::string_view bytes) override;
    void on_end(std::error_code failed) override;
    void parse();
    void tell_growth();
    void finish_answer();
    void fail(std::error_code cause);
    void lose();

    std::size_t max_body_bytes_;
    lost_handler lost_;
    std::function<void()> grown_;
    std::size_t told_{0}; ///< Bytes held when `grown_` was called last.
    done_handler done_;
    echo expected_;
    std::string buffer_;
    std::unique_ptr<reading> reading_;
    time_point idle_since_;
    std::optional<duration> idle_limit_;
    int strays_{0};
    int interim_answers_{0};
    bool is_head_{false};
};

} // namespace lavenderhoist::net
