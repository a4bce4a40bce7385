#pragma once

#include "lavenderhoist/core/clock.hpp"
#include "lavenderhoist/core/error.hpp"
#include "lavenderhoist/net/http_client.hpp"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lavenderhoist::node {

/** \brief What a read of the platform's log returned. */
struct log_batch {
    /** \brief A payload and its offset. */
    struct item {
        std::int64_t offset;
        duration age;
        std::string payload;
    };

    std::int64_t first{0}; ///< Lowest offset still retained.
    std::int64_t tail{0};  ///< Offset that the next append will get.
    duration retention{0}; ///< Time for which the log retains records.
    std::vector<item> items;
};

/** \brief Result of an append. */
struct append_result {
    std::optional<std::int64_t> offset; ///< Set if the append was confirmed.
    error failure;                      ///< Without an offset: the append may have taken effect.
};

/** \brief Client of the platform's append-only log, over HTTP. Not thread-safe. */
class log_client {
public:
    log_client(boost::asio::any_io_executor executor, net::tcp::endpoint log);

    boost::asio::awaitable<append_result> append(std::string payload, duration timeout);

    /** \returns nothing if the log did not answer in time. */
    boost::asio::awaitable<std::optional<log_batch>> read(std::int64_t from, duration timeout);

    std::uint64_t appends() const noexcept { return appends_; }
    std::uint64_t reads() const noexcept { return reads_; }

private:
    net::http_client http_;
    std::string address_;
    std::uint64_t appends_{0};
    std::uint64_t reads_{0};
};

} // namespace lavenderhoist::node
