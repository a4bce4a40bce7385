#include "lavenderhoist/agent/control_worker.hpp"

#include "lavenderhoist/agent/internal/endpoint_of.hpp"
#include "lavenderhoist/logging/log.hpp"
#include "lavenderhoist/net/sleep.hpp"
#include "lavenderhoist/net/spawn.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace lavenderhoist::agent {

namespace asio = boost::asio;
using logging::log_line;
using logging::severity;

namespace {

/** For one exchange with a peer. */
constexpr duration tell_timeout = std::chrono::milliseconds(400);

/** Delays before each attempt at telling a peer: all must know within three seconds. */
constexpr std::array<duration, 4> tell_delays{duration(0), std::chrono::milliseconds(200),
                                              std::chrono::milliseconds(500),
                                              std::chrono::milliseconds(800)};

/** Peers that a node asks for their suspicions after its start: one may have started as well. */
constexpr int min_informants = 3;

/** Suspicions that the record of a host holds; the oldest make room. */
constexpr std::size_t max_recorded_suspicions = 32;

} // namespace

void control_worker::watch_crashes() {
    data_.set_crash_handler([this](relay::crash_watch::news found) {
        asio::post(context_,
                   [this, found = std::move(found)]() mutable { on_crash_news(std::move(found)); });
    });
}

void control_worker::on_crash_news(relay::crash_watch::news found) {
    for (const auto& [id, placed] : directory_.hosts()) {
        const auto& where = placed.record.call_address;
        if (id != settings_.id && where.port != 0) {
            net::spawn(context_, tell_suspicions(endpoint_of(where), id, found.suspicions));
        }
    }
    for (const auto& each : found.quarantined) {
        const bool is_known = std::ranges::any_of(recorded_suspicions_, [&each](const auto& known) {
            return known.request == each.request && known.end == each.end;
        });
        if (!is_known) {
            recorded_suspicions_.push_back(each);
        }
    }
    for (const auto& each : found.suspicions) {
        std::erase_if(recorded_suspicions_, [&each](const auto& known) {
            return each.is_cleared && known.request == each.request;
        });
    }
    if (recorded_suspicions_.size() > max_recorded_suspicions) {
        const auto excess = recorded_suspicions_.size() - max_recorded_suspicions;
        recorded_suspicions_.erase(recorded_suspicions_.begin(),
                                   recorded_suspicions_.begin() +
                                       static_cast<std::ptrdiff_t>(excess));
    }
    publish_wakeup_.cancel();
}

asio::awaitable<bool>
control_worker::exchange_suspicions(net::tcp::endpoint peer,
                                    const std::vector<quarantine::suspicion>& told) {
    net::request request{"POST", std::string(relay::data_worker::suspicions_path), {}, {}};
    if (!told.empty()) {
        request.body = quarantine::encode(told);
    }
    const auto answer = co_await peers_.exchange(peer, request, runtime_clock::now() + tell_timeout,
                                                 tell_timeout, nullptr);
    if (answer.code) {
        co_return false;
    }
    auto known = quarantine::decode_suspicions(answer.answer.body);
    if (told.empty() && known && !known->empty()) {
        data_.merge_suspicions(std::move(*known));
    }
    co_return true;
}

asio::awaitable<void>
control_worker::tell_suspicions(net::tcp::endpoint peer, std::string id,
                                std::vector<quarantine::suspicion> suspicions) {
    for (const auto delay : tell_delays) {
        co_await net::sleep_for(context_.get_executor(), delay);
        if (co_await exchange_suspicions(peer, suspicions)) {
            co_return;
        }
    }
    log_line(severity::warning, "suspects not told",
             {{"peer", id}, {"suspects", suspicions.size()}, {"attempts", tell_delays.size()}});
}

bool control_worker::has_asked_for_suspicions() const noexcept {
    return informants_ >= min_informants;
}

asio::awaitable<void> control_worker::ask_for_suspicions(net::tcp::endpoint peer) {
    if (has_asked_for_suspicions()) {
        co_return;
    }
    const std::vector<quarantine::suspicion> nothing_to_tell;
    if (co_await exchange_suspicions(peer, nothing_to_tell)) {
        ++informants_;
    }
}

void control_worker::restore_suspicions(const mesh::host_record& record) {
    if (record.quarantined.empty()) {
        return;
    }
    data_.merge_suspicions(record.quarantined);
    if (record.id == settings_.id && recorded_suspicions_.empty()) {
        recorded_suspicions_ = record.quarantined;
    }
}

} // namespace lavenderhoist::agent
