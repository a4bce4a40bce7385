#include "lavenderhoist/cluster/gossip_service.hpp"

#include "lavenderhoist/net/sleep.hpp"
#include "lavenderhoist/net/spawn.hpp"

#include <algorithm>
#include <utility>

namespace lavenderhoist::node {

namespace asio = boost::asio;

namespace {

constexpr duration round_interval = std::chrono::milliseconds(500);
constexpr duration probe_timeout = std::chrono::milliseconds(400);
constexpr duration indirect_timeout = std::chrono::milliseconds(900);
constexpr std::size_t indirect_probes = 2;
constexpr std::size_t spread_fanout = 4;
constexpr std::size_t max_joins_per_round = 3;

/** Rounds between attempts to join through a contact although members are known: after a network
 * partition in which each side declared the other dead, this merges them again. */
constexpr std::uint64_t rounds_per_rejoin = 10;
constexpr membership::member_list::timing member_timing{std::chrono::seconds(2),
                                                        std::chrono::seconds(30)};
constexpr duration idle_connection_lifetime = std::chrono::seconds(10);

} // namespace

gossip_service::gossip_service(asio::any_io_executor executor, peer_client& peers,
                               membership::member self, hooks callbacks, std::uint64_t seed)
    : executor_(std::move(executor)),
      peers_(peers),
      hooks_(std::move(callbacks)),
      members_(std::move(self), member_timing, seed),
      random_(seed) {}

asio::awaitable<void> gossip_service::run() {
    while (true) {
        co_await run_once();
        co_await net::sleep_for(executor_, round_interval);
    }
}

asio::awaitable<void> gossip_service::run_once() {
    if (members_.on_tick(runtime_clock::now())) {
        hooks_.members_changed();
    }
    peers_.close_idle(idle_connection_lifetime);
    const auto id = members_.next_probe();
    const auto* const target = members_.find(id);
    if (target == nullptr) {
        co_await join();
        co_return;
    }
    if (++rounds_ % rounds_per_rejoin == 0) {
        net::spawn(executor_, join());
    }
    // Probes run concurrently with the rounds: an unresponsive member does not delay the next
    // round.
    net::spawn(executor_, probe(*target));
}

asio::awaitable<void> gossip_service::join() {
    auto contacts = hooks_.contacts();
    std::ranges::shuffle(contacts, random_);
    std::size_t attempts = 0;
    for (const auto& address : contacts) {
        if (address == members_.self().control_address) {
            continue;
        }
        if (++attempts > max_joins_per_round) {
            break;
        }
        if (co_await exchange(address)) {
            co_return;
        }
    }
}

asio::awaitable<bool> gossip_service::exchange(std::string address) {
    const auto message = members_.make_message(wall_time().count());
    const auto answer = co_await peers_.send_request(address, "/gossip",
                                                     membership::encode(message), probe_timeout);
    if (!answer) {
        co_return false;
    }
    const auto received = membership::decode_gossip(*answer);
    if (!received) {
        co_return false;
    }
    merge_members(*received);
    const auto round_trip = wall_time().count() - message.wall_ms;
    const auto difference = received->wall_ms - message.wall_ms - round_trip / 2;
    const auto unexplained = std::max<std::int64_t>(0, std::abs(difference) - round_trip / 2);
    hooks_.clock_compared(received->from, milliseconds(unexplained));
    members_.on_probe_answered(received->from);
    if (received->record_digest != hooks_.records_digest()) {
        hooks_.records_differ(address);
    }
    if (const auto repair = members_.make_repair(received->member_digest, wall_time().count())) {
        const auto body = membership::encode(*repair);
        co_await peers_.send_request(address, "/gossip/repair", body, probe_timeout);
    }
    co_return true;
}

asio::awaitable<void> gossip_service::probe(membership::member target) {
    if (co_await exchange(target.control_address)) {
        co_return;
    }
    const auto helpers = members_.random_members(indirect_probes, target.id);
    for (const auto& helper : helpers) {
        const auto answer = co_await peers_.send_request(helper.control_address, "/probe",
                                                         target.id, indirect_timeout);
        if (answer && *answer == "1") {
            co_return;
        }
    }
    const auto* const known = members_.find(target.id);
    const bool is_same = known != nullptr && known->process == target.process;
    if (!is_same) {
        co_return;
    }
    members_.on_probe_failed(target.id, runtime_clock::now());
    hooks_.members_changed();
}

asio::awaitable<bool> gossip_service::probe_for(std::string id) {
    const auto* const target = members_.find(id);
    if (target == nullptr) {
        co_return false;
    }
    const std::string address = target->control_address;
    co_return co_await exchange(address);
}

void gossip_service::merge_members(const membership::gossip_message& received) {
    if (members_.merge(received.members, runtime_clock::now())) {
        hooks_.members_changed();
    }
}

void gossip_service::accept_repair(std::string_view body) {
    if (const auto received = membership::decode_gossip(body)) {
        merge_members(*received);
    }
}

std::string gossip_service::answer(std::string_view body) {
    const auto received = membership::decode_gossip(body);
    if (!received) {
        return {};
    }
    merge_members(*received);
    auto message = members_.make_message(wall_time().count());
    message.record_digest = hooks_.records_digest();
    members_.add_differences(received->member_digest, message);
    return membership::encode(message);
}

void gossip_service::spread() {
    for (const auto& target : members_.random_members(spread_fanout, {})) {
        net::spawn(executor_, [this, address = target.control_address]() -> asio::awaitable<void> {
            co_await exchange(address);
        });
    }
}

} // namespace lavenderhoist::node
