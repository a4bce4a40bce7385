#pragma once

#include "lavenderhoist/net/http_server.hpp"

#include <cstdint>
#include <deque>
#include <memory>
#include <string>

namespace lavenderhoist::standin {

/**
 * \brief A stand-in for the platform's append-only log: offsets, retention, and faults on demand.
 *
 * POST /append; GET /read?from=N; POST /_stub/faults; GET /_stub/status.
 */
class stub_log {
public:
    stub_log(net::tcp::acceptor acceptor, duration retention);

    void start() { server_->start(); }

private:
    /** Faults that tests switch on. */
    struct faults {
        bool outage{false};       ///< Every request is answered with 503.
        std::int64_t delay_ms{0}; ///< Every answer is delayed by this time.
        std::int64_t lose_confirmations{
            0}; ///< Number of appends that take effect and are answered with 503.
    };

    struct entry {
        std::int64_t offset;
        time_point written;
        std::string payload;
    };

    boost::asio::awaitable<net::response> serve(net::request message);
    net::response append(const net::request& message);
    net::response read(std::string_view path);
    net::response set_faults(const net::request& message);
    net::response status() const;
    void expire();

    boost::asio::any_io_executor executor_;
    duration retention_;
    faults faults_;
    std::deque<entry> entries_;
    std::int64_t next_offset_{0};
    std::uint64_t appends_{0};
    std::uint64_t reads_{0};
    std::unique_ptr<net::http_server> server_;
};

} // namespace lavenderhoist::standin
