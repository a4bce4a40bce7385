#include "lavenderhoist/node/order_coordinator.hpp"

#include "lavenderhoist/net/sleep.hpp"
#include "lavenderhoist/net/spawn.hpp"
#include "lavenderhoist/orders/takeover_delay.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <utility>

namespace lavenderhoist::node {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr duration assignment_interval = std::chrono::milliseconds(200);
constexpr duration settling_delay = std::chrono::milliseconds(300);
constexpr duration delay_per_rank = std::chrono::milliseconds(1'500);
constexpr duration outsider_delay = std::chrono::milliseconds(3'000);

/** For an outsider without proof that a member has ended. Its assignment makes new owners wait for
 * the outage limit; a live member that gossip has not reported here yet writes one within this
 * time. */
constexpr duration outsider_without_proof_delay = std::chrono::seconds(10);

/** A node that has just started knows few members yet, so it writes no assignment. */
constexpr duration joining_delay = std::chrono::seconds(2);
constexpr duration hand_over_interval = std::chrono::milliseconds(100);
constexpr duration hand_over_timeout = std::chrono::seconds(20);
constexpr duration peer_timeout = std::chrono::milliseconds(800);
constexpr duration log_timeout = std::chrono::milliseconds(900);
constexpr int renewals_per_lease = 4;

records::record_topic assignment_topic(const std::string& service) {
    return {records::record_type::assignment, service};
}

} // namespace

order_coordinator::order_coordinator(asio::any_io_executor executor, parts components,
                                     orders::owner self)
    : executor_(std::move(executor)),
      parts_(components),
      self_(std::move(self)),
      lease_({components.state.settings.lease, components.state.settings.outage_limit}) {}

void order_coordinator::start() {
    net::spawn(executor_, lease_loop());
    net::spawn(executor_, assignment_loop());
    net::spawn(executor_, hand_over_loop());
}

std::optional<orders::assignment>
order_coordinator::current_assignment(const std::string& service) const {
    const auto* const current = parts_.store.current(assignment_topic(service));
    if (current == nullptr) {
        return std::nullopt;
    }
    return orders::decode_body(current->content.body, current->content.version);
}

void order_coordinator::on_service(const std::string& service) {
    if (service == service_ || service.empty()) {
        return;
    }
    service_ = service;
    pending_hand_overs_.clear();
    if (const auto current = current_assignment(service_)) {
        lease_.on_epoch(current->epoch);
        parts_.target.post_assignment(*current);
    }
}

void order_coordinator::on_record(const records::located_record& fresh) {
    if (fresh.content.topic.type != records::record_type::assignment) {
        return;
    }
    const auto& service = fresh.content.topic.subject;
    const auto next = orders::decode_body(fresh.content.body, fresh.content.version);
    if (!next) {
        return;
    }
    takeover_delay_until_[service] = runtime_clock::now() + next->takeover_delay;
    if (service != service_) {
        return;
    }
    lease_.on_epoch(next->epoch);
    pending_hand_overs_[next->epoch] = runtime_clock::now();
    parts_.target.post_assignment(*next);
}

bool order_coordinator::service_has_orders() const {
    const auto config =
        parts_.state.view.read([](const routing_view& view) { return view.config; });
    if (!config || service_.empty() || !parts_.state.settings.policy) {
        return false;
    }
    const auto* const service = config->find_service(service_);
    return service != nullptr && config->has_orders(*service);
}

bool order_coordinator::has_duties() const {
    if (!service_has_orders()) {
        return false;
    }
    const auto current = current_assignment(service_);
    return !pending_hand_overs_.empty() || (current && current->contains(self_));
}

asio::awaitable<void> order_coordinator::lease_loop() {
    const auto interval = parts_.state.settings.lease / renewals_per_lease;
    while (true) {
        co_await renew_lease();
        co_await net::sleep_for(executor_, interval);
    }
}

asio::awaitable<void> order_coordinator::renew_lease() {
    const auto current = current_assignment(service_);
    if (!service_has_orders() || !current || !current->contains(self_) || clock_fault_) {
        co_return;
    }
    const auto started_at = runtime_clock::now();
    const auto newest = co_await read_newest_epoch();
    if (newest) {
        lease_.on_log_confirmed(*newest, started_at);
    } else {
        const auto members_started_at = runtime_clock::now();
        if (co_await is_confirmed_by_members(*current)) {
            lease_.on_members_confirmed(current->epoch, members_started_at);
        }
    }
    parts_.target.post_lease({current->epoch, lease_.valid_until(current->epoch)});
}

asio::awaitable<std::optional<std::int64_t>> order_coordinator::read_newest_epoch() {
    if (!parts_.relay.is_reader()) {
        const auto reader = parts_.relay.other_reader();
        const auto answer =
            co_await parts_.peers.send_request(reader, "/tail", service_, log_timeout);
        if (answer && !answer->empty()) {
            co_return std::stoll(*answer);
        }
    }
    const bool has_read = co_await parts_.follower.read_to_tail(log_timeout);
    if (!has_read) {
        co_return std::nullopt;
    }
    const auto current = current_assignment(service_);
    co_return current ? current->epoch : 0;
}

asio::awaitable<std::string> order_coordinator::answer_tail_read(std::string service) {
    if (!co_await parts_.follower.read_to_tail(log_timeout)) {
        co_return std::string();
    }
    const auto current = current_assignment(service);
    co_return std::to_string(current ? current->epoch : 0);
}

asio::awaitable<bool> order_coordinator::is_confirmed_by_members(orders::assignment current) {
    if (parts_.publisher.is_outstanding(assignment_topic(service_))) {
        co_return false;
    }
    for (const auto& member : current.members) {
        if (member == self_) {
            continue;
        }
        const auto* const peer = parts_.gossip.members().find(member.id);
        if (peer == nullptr) {
            co_return false;
        }
        const auto request = json::serialize(json::object{
            {"service", service_}, {"epoch", current.epoch}, {"process", member.process}});
        const std::string address = peer->control_address;
        const auto answer =
            co_await parts_.peers.send_request(address, "/epoch", request, peer_timeout);
        if (!answer || *answer != "1") {
            co_return false;
        }
    }
    co_return true;
}

std::string order_coordinator::answer_epoch_check(std::string_view body) {
    json::error_code failed;
    const auto parsed = json::parse(body, failed);
    if (failed || !parsed.is_object()) {
        return "0";
    }
    try {
        const auto& text = parsed.at("service").as_string();
        const std::string service(text.data(), text.size());
        const auto epoch = parsed.at("epoch").to_number<std::int64_t>();
        const bool is_same_process =
            parsed.at("process").to_number<std::uint64_t>() == self_.process;
        const auto current = current_assignment(service);
        const bool is_current_epoch = current && current->epoch == epoch;
        const bool is_outstanding = parts_.publisher.is_outstanding(assignment_topic(service));
        return is_same_process && is_current_epoch && !is_outstanding ? "1" : "0";
    } catch (const std::exception&) {
        return "0"; // a member is missing or has the wrong type
    }
}

std::vector<orders::owner> order_coordinator::desired_members() {
    std::vector<orders::owner> desired;
    for (const auto& member : parts_.gossip.members().all()) {
        if (membership::is_accepting_work(member) && member.target->service == service_) {
            desired.push_back({member.id, member.process});
        }
    }
    std::ranges::sort(desired);
    return desired;
}

bool order_coordinator::is_present(const orders::owner& candidate) {
    const auto* const peer = parts_.gossip.members().find(candidate.id);
    return peer != nullptr && peer->process == candidate.process &&
           (peer->state == membership::liveness::alive ||
            peer->state == membership::liveness::suspect);
}

std::optional<duration>
order_coordinator::write_delay(const std::optional<orders::assignment>& current) {
    if (current) {
        int rank = 0;
        for (const auto& member : current->members) {
            if (member == self_) {
                return settling_delay + rank * delay_per_rank;
            }
            rank += is_present(member) ? 1 : 0;
        }
        if (rank > 0) {
            return std::nullopt; // a member that is present writes with a shorter takeover delay
        }
    }
    const auto position = std::ranges::find(last_desired_, self_);
    if (position == last_desired_.end()) {
        return std::nullopt;
    }
    const auto rank = position - last_desired_.begin();
    auto first = settling_delay;
    if (current) {
        first = has_restarted_member(*current) ? outsider_delay : outsider_without_proof_delay;
    }
    return first + rank * delay_per_rank;
}

bool order_coordinator::has_restarted_member(const orders::assignment& current) const {
    return std::ranges::any_of(current.members, [this](const orders::owner& member) {
        const auto* const peer = parts_.gossip.members().find(member.id);
        return peer != nullptr && peer->process > member.process;
    });
}

milliseconds
order_coordinator::next_takeover_delay(const std::optional<orders::assignment>& current) const {
    orders::author_view seen;
    seen.is_first = !current;
    seen.is_member = current && current->contains(self_);
    seen.has_ended_member = current && has_restarted_member(*current);
    const auto delay_end = takeover_delay_until_.find(service_);
    if (delay_end != takeover_delay_until_.end()) {
        seen.remaining_delay =
            std::chrono::ceil<milliseconds>(delay_end->second - runtime_clock::now());
    }
    const auto& settings = parts_.state.settings;
    return orders::takeover_delay(seen, {settings.lease, settings.outage_limit});
}

std::optional<records::record> order_coordinator::make_assignment(records::record successor) {
    const auto current = current_assignment(service_);
    orders::assignment next;
    next.members = desired_members();
    if (next.members.empty() || (current && current->members == next.members)) {
        return std::nullopt;
    }
    next.takeover_delay = next_takeover_delay(current);
    successor.author = self_.id;
    successor.id =
        self_.id + "/" + std::to_string(self_.process) + "/" + std::to_string(successor.version);
    successor.written_ms = wall_time().count();
    successor.body = orders::encode_body(next);
    return successor;
}

asio::awaitable<void> order_coordinator::write_assignment() {
    const auto result =
        co_await parts_.publisher.publish(assignment_topic(service_), [this](records::record next) {
            return make_assignment(std::move(next));
        });
    if (result.status == publication::current) {
        ++assignments_written_;
    }
}

asio::awaitable<void> order_coordinator::assignment_loop() {
    co_await net::sleep_for(executor_, joining_delay);
    while (true) {
        co_await net::sleep_for(executor_, assignment_interval);
        if (!service_has_orders()) {
            continue;
        }
        auto desired = desired_members();
        if (desired != last_desired_) {
            last_desired_ = std::move(desired);
            desired_since_ = runtime_clock::now();
        }
        const auto current = current_assignment(service_);
        if (last_desired_.empty() || (current && current->members == last_desired_)) {
            continue;
        }
        const auto delay = write_delay(current);
        if (delay && runtime_clock::now() - desired_since_ >= *delay) {
            co_await write_assignment();
        }
    }
}

asio::awaitable<void> order_coordinator::hand_over_loop() {
    while (true) {
        co_await net::sleep_for(executor_, hand_over_interval);
        if (!service_has_orders()) {
            continue;
        }
        // Each epoch is handed over, also if several were received together: owners of the later
        // one may wait for owners of the earlier one. Iterates over a copy, since the map may
        // change while a hand-over is in flight.
        const auto pending = pending_hand_overs_;
        for (const auto& [epoch, received_at] : pending) {
            const bool has_timed_out = runtime_clock::now() - received_at > hand_over_timeout;
            if (has_timed_out || co_await send_hand_overs(epoch)) {
                pending_hand_overs_.erase(epoch);
            }
        }
    }
}

asio::awaitable<bool> order_coordinator::send_hand_overs(std::int64_t epoch) {
    const auto hand_overs = parts_.target.make_hand_overs(service_, epoch);
    if (!hand_overs) {
        co_return false;
    }
    bool all_sent = true;
    for (const auto& [id, keys] : *hand_overs) {
        // A new owner that is unknown yet or does not answer gets its keys in a later round.
        const auto* const new_owner = parts_.gossip.members().find(id);
        if (new_owner == nullptr) {
            all_sent = false;
            continue;
        }
        const std::string address = new_owner->control_address;
        const auto body = encode(keys);
        const auto answer =
            co_await parts_.peers.send_request(address, "/hand-over", body, peer_timeout);
        all_sent = all_sent && answer.has_value();
    }
    co_return all_sent;
}

} // namespace lavenderhoist::node
