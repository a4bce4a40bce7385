#include "lavenderhoist/agent/store_client.hpp"

#include "lavenderhoist/core/error.hpp"

#include <iterator>
#include <utility>

namespace lavenderhoist::agent {

namespace asio = boost::asio;

namespace {

/** Two long polls, one append, and headroom for connections that no longer respond. */
constexpr std::size_t max_connections = 16;

constexpr std::size_t max_answer_bytes = 16U << 20U;

/** For calls other than long polls; many times the store's usual response time of 4 ms. */
constexpr duration call_timeout = std::chrono::milliseconds(1'500);

} // namespace

store_client::store_client(asio::any_io_executor executor, const net::tcp::endpoint& store,
                           const store_codec& codec)
    : codec_(codec), http_(std::move(executor), store, {max_connections, max_answer_bytes}) {}

asio::awaitable<net::exchange_result> store_client::exchange(const net::request& message,
                                                             duration timeout,
                                                             net::cancellation_ptr cancelled) {
    ++calls_;
    auto result =
        co_await http_.exchange(message, runtime_clock::now() + timeout, std::move(cancelled));
    if (result.code == errc::deadline_passed) {
        http_.close_idle(); // what silenced one connection may have silenced the others
    }
    co_return result;
}

asio::awaitable<read_result> store_client::list_newest(topic which) {
    record_batch all;
    std::string after;
    bool is_first = true;
    while (true) {
        const auto answer =
            co_await exchange(codec_.list_newest(which, after), call_timeout, nullptr);
        auto page = codec_.parse_newest(answer);
        auto* const batch = std::get_if<record_batch>(&page);
        if (batch == nullptr) {
            co_return page;
        }
        // Pages are not a snapshot: reading on from the first page's end offset covers records that
        // are appended while further pages are listed.
        if (std::exchange(is_first, false)) {
            all.era = batch->era;
            all.next_offset = batch->next_offset;
        } else if (batch->era != all.era) {
            co_return store_failure{"restored from a copy while it was listed", false};
        }
        const bool has_more = batch->has_more && batch->last_key != after;
        after = batch->last_key;
        all.malformed_records += batch->malformed_records;
        all.records.insert(all.records.end(), std::make_move_iterator(batch->records.begin()),
                           std::make_move_iterator(batch->records.end()));
        if (!has_more) {
            co_return all;
        }
    }
}

asio::awaitable<read_result> store_client::read(topic which, std::int64_t offset, duration wait,
                                                net::cancellation_ptr cancelled) {
    const auto answer = co_await exchange(codec_.read(which, offset, wait), wait + call_timeout,
                                          std::move(cancelled));
    co_return codec_.parse_read(answer, offset);
}

asio::awaitable<append_result> store_client::append(topic which, const store_record& record) {
    const auto answer = co_await exchange(codec_.append(which, record), call_timeout, nullptr);
    co_return codec_.parse_append(answer);
}

} // namespace lavenderhoist::agent
