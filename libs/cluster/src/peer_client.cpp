#include "lavenderhoist/cluster/peer_client.hpp"

#include "lavenderhoist/config/address.hpp"

#include <utility>

namespace lavenderhoist::node {

namespace asio = boost::asio;

namespace {

constexpr std::size_t max_message_bytes = 8U << 20U;
constexpr int status_ok = 200;

} // namespace

peer_client::peer_client(asio::any_io_executor executor, std::string secret)
    : pool_(std::move(executor), max_message_bytes), secret_(std::move(secret)) {}

asio::awaitable<std::optional<std::string>> peer_client::send_request(std::string address,
                                                                      std::string path,
                                                                      std::string body,
                                                                      duration timeout) {
    const auto where = config::parse_address(address);
    if (!where) {
        co_return std::nullopt;
    }
    const auto endpoint = net::make_endpoint(where->host, where->port);
    net::request message{"POST", std::move(path), {{"lh-secret", secret_}}, std::move(body)};
    ++messages_;
    bytes_ += message.body.size();
    auto result = co_await pool_.exchange(endpoint, message, runtime_clock::now() + timeout,
                                          timeout, nullptr);
    if (result.code || result.answer.status != status_ok) {
        co_return std::nullopt;
    }
    bytes_ += result.answer.body.size();
    co_return std::move(result.answer.body);
}

void peer_client::close_idle(duration unused_for) {
    pool_.close_idle(runtime_clock::now() - unused_for);
}

} // namespace lavenderhoist::node
