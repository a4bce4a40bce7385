#pragma once

#include "lavenderhoist/agent/store_types.hpp"
#include "lavenderhoist/core/clock.hpp"
#include "lavenderhoist/net/exchange_result.hpp"

#include <string_view>

namespace lavenderhoist::agent {

/** \brief Encodes calls of a record store as HTTP requests and decodes their responses. Stateless.
 */
class store_codec {
public:
    store_codec() = default;
    store_codec(const store_codec&) = delete;
    store_codec& operator=(const store_codec&) = delete;
    virtual ~store_codec() = default;

    /** \brief Lists the newest record of each key, one page. \param after last key of the previous
     * page; empty for the first page. */
    virtual net::request list_newest(topic which, std::string_view after) const = 0;
    /** \returns a batch in which the records of all pages have the era of their page. */
    virtual read_result parse_newest(const net::exchange_result& answer) const = 0;

    /** \brief Reads from an offset on; the store waits up to `wait` for a first record. */
    virtual net::request read(topic which, std::int64_t offset, duration wait) const = 0;
    virtual read_result parse_read(const net::exchange_result& answer,
                                   std::int64_t offset) const = 0;

    /** \brief Appends a record to a topic. */
    virtual net::request append(topic which, const store_record& record) const = 0;
    virtual append_result parse_append(const net::exchange_result& answer) const = 0;
};

} // namespace lavenderhoist::agent
