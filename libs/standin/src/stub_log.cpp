#include "lavenderhoist/standin/stub_log.hpp"

#include "lavenderhoist/net/sleep.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace lavenderhoist::standin {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr net::http_server::limits bounds{1'000, 16U << 10U, 4U << 20U, std::chrono::seconds(10),
                                          std::chrono::seconds(300)};
constexpr std::size_t max_batch = 200;
constexpr std::string_view read_prefix = "/read?from=";

net::response reply(int status, const json::object& body) {
    return {status, {{"content-type", "application/json"}}, json::serialize(body)};
}

net::response plain_fault(int status, std::string_view reason) {
    return reply(status, {{"error", reason}});
}

} // namespace

stub_log::stub_log(net::tcp::acceptor acceptor, duration retention)
    : executor_(acceptor.get_executor()), retention_(retention) {
    server_ = std::make_unique<net::http_server>(
        std::move(acceptor), bounds,
        [this](net::request message, std::string /*peer*/, net::cancellation_ptr /*cancelled*/) {
            return serve(std::move(message));
        },
        &plain_fault);
}

asio::awaitable<net::response> stub_log::serve(net::request message) {
    if (message.path == "/_stub/faults") {
        co_return set_faults(message);
    }
    if (message.path == "/_stub/status") {
        co_return status();
    }
    if (faults_.outage) {
        co_return plain_fault(503, "outage");
    }
    if (faults_.delay_ms > 0) {
        co_await net::sleep_for(executor_, milliseconds(faults_.delay_ms));
    }
    expire();
    if (message.method == "POST" && message.path == "/append") {
        co_return append(message);
    }
    if (message.path.starts_with(read_prefix)) {
        co_return read(message.path);
    }
    co_return plain_fault(404, "no such resource");
}

net::response stub_log::append(const net::request& message) {
    ++appends_;
    const auto offset = next_offset_++;
    entries_.push_back({offset, runtime_clock::now(), message.body});
    if (faults_.lose_confirmations > 0) {
        --faults_.lose_confirmations;
        return plain_fault(503, "confirmation lost");
    }
    return reply(200, {{"offset", offset}});
}

net::response stub_log::read(std::string_view path) {
    ++reads_;
    std::int64_t from = 0;
    const auto digits = path.substr(read_prefix.size());
    std::from_chars(digits.data(), digits.data() + digits.size(), from);
    const auto now = runtime_clock::now();
    json::array records;
    for (const auto& one : entries_) {
        if (one.offset < from) {
            continue;
        }
        if (records.size() == max_batch) {
            break;
        }
        const auto age = std::chrono::duration_cast<milliseconds>(now - one.written).count();
        records.emplace_back(
            json::object{{"offset", one.offset}, {"age_ms", age}, {"payload", one.payload}});
    }
    const auto first = entries_.empty() ? next_offset_ : entries_.front().offset;
    const auto retention_ms = std::chrono::duration_cast<milliseconds>(retention_).count();
    return reply(200, {{"first", first},
                       {"tail", next_offset_},
                       {"retention_ms", retention_ms},
                       {"records", std::move(records)}});
}

net::response stub_log::set_faults(const net::request& message) {
    json::error_code failed;
    const auto parsed = json::parse(message.body.str(), failed);
    if (failed || !parsed.is_object()) {
        return plain_fault(400, "expected an object");
    }
    const auto& object = parsed.get_object();
    faults next;
    if (const auto* const outage = object.if_contains("outage")) {
        next.outage = outage->as_bool();
    }
    if (const auto* const delay = object.if_contains("delay_ms")) {
        next.delay_ms = delay->as_int64();
    }
    if (const auto* const lose = object.if_contains("lose_confirmations")) {
        next.lose_confirmations = lose->as_int64();
    }
    faults_ = next;
    return reply(200, {});
}

net::response stub_log::status() const {
    return reply(200, {{"appends", appends_}, {"reads", reads_}, {"tail", next_offset_}});
}

void stub_log::expire() {
    const auto oldest = runtime_clock::now() - retention_;
    while (!entries_.empty() && entries_.front().written < oldest) {
        entries_.pop_front();
    }
}

} // namespace lavenderhoist::standin
