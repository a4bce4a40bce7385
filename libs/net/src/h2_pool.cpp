#include "lavenderhoist/net/h2_pool.hpp"

#include "lavenderhoist/core/error.hpp"

#include <algorithm>
#include <utility>

namespace lavenderhoist::net {

namespace asio = boost::asio;

/** A connection attempt in progress, shared by all requests to its peer. */
struct h2_pool::attempt {
    std::vector<std::shared_ptr<signal>> waiters;
};

h2_pool::h2_pool(asio::any_io_executor executor, std::size_t max_body_bytes)
    : executor_(std::move(executor)), max_body_bytes_(max_body_bytes) {}

asio::awaitable<std::shared_ptr<h2_client>> h2_pool::client_for(tcp::endpoint peer,
                                                                time_point deadline) {
    const auto found = clients_.find(peer);
    if (found != clients_.end()) {
        if (found->second->is_usable()) {
            co_return found->second;
        }
        clients_.erase(found);
    }
    const auto pending = attempts_.find(peer);
    if (pending != attempts_.end()) {
        const auto finished = std::make_shared<signal>(executor_);
        pending->second->waiters.push_back(finished);
        co_await finished->wait(deadline);
        const auto made = clients_.find(peer);
        if (made == clients_.end() || !made->second->is_usable()) {
            co_return nullptr;
        }
        co_return made->second;
    }
    const auto started = std::make_shared<attempt>();
    attempts_[peer] = started;
    auto made = co_await h2_client::connect(executor_, peer, max_body_bytes_, deadline);
    attempts_.erase(peer);
    if (made) {
        clients_[peer] = made;
    }
    for (const auto& waiter : started->waiters) {
        waiter->set();
    }
    co_return made;
}

asio::awaitable<exchange_result> h2_pool::exchange(tcp::endpoint peer, const request& message,
                                                   time_point deadline, duration connect_timeout,
                                                   cancellation_ptr cancelled) {
    const auto connect_by = std::min(deadline, runtime_clock::now() + connect_timeout);
    const auto client = co_await client_for(peer, connect_by);
    if (!client) {
        exchange_result failed;
        failed.code = errc::peer_lost;
        failed.never_processed = true;
        co_return failed;
    }
    const auto sent_at = runtime_clock::now();
    auto result = co_await client->exchange(message, deadline, std::move(cancelled));
    if (result.code == errc::deadline_passed && client->last_received() < sent_at) {
        drop(peer, client);
    }
    co_return result;
}

void h2_pool::drop(const tcp::endpoint& peer, const std::shared_ptr<h2_client>& silent) {
    const auto found = clients_.find(peer);
    if (found != clients_.end() && found->second == silent) {
        clients_.erase(found);
    }
    if (silent->open_streams() == 0) {
        silent->shut_down();
    }
}

void h2_pool::close_idle(time_point before) {
    std::vector<std::shared_ptr<h2_client>> closing;
    for (const auto& [peer, client] : clients_) {
        const bool idle = client->open_streams() == 0 && client->last_activity() < before;
        if (idle || !client->is_open()) {
            closing.push_back(client);
        }
    }
    std::erase_if(clients_, [&closing](const auto& entry) {
        return std::ranges::find(closing, entry.second) != closing.end();
    });
    for (const auto& client : closing) {
        client->shut_down();
    }
}

} // namespace lavenderhoist::net
