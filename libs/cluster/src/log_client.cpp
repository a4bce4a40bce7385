#include "lavenderhoist/cluster/log_client.hpp"

#include <boost/json.hpp>

#include <sstream>
#include <utility>

namespace lavenderhoist::node {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::size_t max_connections = 4;
constexpr std::size_t max_batch_bytes = 8U << 20U;
constexpr int status_ok = 200;

std::string text_of(const net::tcp::endpoint& where) {
    std::ostringstream text;
    text << where;
    return text.str();
}

std::optional<log_batch> decode_batch(std::string_view body) {
    json::error_code failed;
    const auto parsed = json::parse(body, failed);
    if (failed || !parsed.is_object()) {
        return std::nullopt;
    }
    try {
        log_batch batch;
        batch.first = parsed.at("first").to_number<std::int64_t>();
        batch.tail = parsed.at("tail").to_number<std::int64_t>();
        batch.retention = milliseconds(parsed.at("retention_ms").to_number<std::int64_t>());
        for (const auto& record : parsed.at("records").as_array()) {
            const auto& payload = record.at("payload").as_string();
            batch.items.push_back({record.at("offset").to_number<std::int64_t>(),
                                   milliseconds(record.at("age_ms").to_number<std::int64_t>()),
                                   {payload.data(), payload.size()}});
        }
        return batch;
    } catch (const std::exception&) {
        return std::nullopt; // a member is missing or has the wrong type
    }
}

} // namespace

log_client::log_client(asio::any_io_executor executor, net::tcp::endpoint log)
    : http_(std::move(executor), log, {max_connections, max_batch_bytes}), address_(text_of(log)) {}

asio::awaitable<append_result> log_client::append(std::string payload, duration timeout) {
    ++appends_;
    net::request message{
        "POST", "/append", {{"content-type", "application/json"}}, std::move(payload)};
    const auto result = co_await http_.exchange(message, runtime_clock::now() + timeout, nullptr);
    append_result done;
    done.failure = {errc::log_unavailable, step::log, address_};
    if (result.code || result.answer.status != status_ok) {
        co_return done;
    }
    json::error_code failed;
    const auto parsed = json::parse(result.answer.body, failed);
    if (!failed && parsed.is_object() && parsed.as_object().contains("offset")) {
        done.offset = parsed.at("offset").to_number<std::int64_t>();
        done.failure = {};
    }
    co_return done;
}

asio::awaitable<std::optional<log_batch>> log_client::read(std::int64_t from, duration timeout) {
    ++reads_;
    net::request message{"GET", "/read?from=" + std::to_string(from), {}, {}};
    const auto result = co_await http_.exchange(message, runtime_clock::now() + timeout, nullptr);
    if (result.code || result.answer.status != status_ok) {
        co_return std::nullopt;
    }
    co_return decode_batch(result.answer.body);
}

} // namespace lavenderhoist::node
