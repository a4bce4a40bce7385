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

constexpr duration author_interval = std::chrono::milliseconds(200);
constexpr duration author_settling = std::chrono::milliseconds(300);
constexpr duration author_rank_delay = std::chrono::milliseconds(1'500);
constexpr duration outsider_delay = std::chrono::milliseconds(3'000);

/** For an outsider that has no proof that a member is gone. What it writes makes takers wait for
 * the outage limit, and a member that it merely has not met yet would have written within this
 * time. */
constexpr duration stranger_delay = std::chrono::seconds(10);

/** A node that has just started knows few of the others; it writes no assignment yet. */
constexpr duration joining_time = std::chrono::seconds(2);
constexpr duration hand_over_interval = std::chrono::milliseconds(100);
constexpr duration hand_over_limit = std::chrono::seconds(20);
constexpr duration peer_timeout = std::chrono::milliseconds(800);
constexpr duration log_timeout = std::chrono::milliseconds(900);
constexpr int renewals_per_lease = 4;

records::record_topic assignment_topic(const std::string& service) {
    return {records::record_type::assignment, service};
}

} // namespace

order_coordinator::order_coordinator(asio::any_io_executor executor, parts used, orders::owner self)
    : executor_(std::move(executor)),
      parts_(used),
      self_(std::move(self)),
      lease_({used.state.settings.lease, used.state.settings.outage_limit}) {}

void order_coordinator::start() {
    net::spawn(executor_, lease_loop());
    net::spawn(executor_, author_loop());
    net::spawn(executor_, hand_over_loop());
}

std::optional<orders::assignment>
order_coordinator::current_assignment(const std::string& service) const {
    const auto* const standing = parts_.store.current(assignment_topic(service));
    if (standing == nullptr) {
        return std::nullopt;
    }
    return orders::decode_body(standing->content.body, standing->content.version);
}

void order_coordinator::on_service(const std::string& service) {
    if (service == service_ || service.empty()) {
        return;
    }
    service_ = service;
    due_hand_overs_.clear();
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
    quiet_until_[service] = runtime_clock::now() + next->takeover_delay;
    if (service != service_) {
        return;
    }
    lease_.on_epoch(next->epoch);
    due_hand_overs_[next->epoch] = runtime_clock::now();
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
    return !due_hand_overs_.empty() || (current && current->contains(self_));
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
    const auto asked = runtime_clock::now();
    const auto newest = co_await newest_epoch_by_log();
    if (newest) {
        lease_.on_log_confirmed(*newest, asked);
    } else {
        const auto asked_members = runtime_clock::now();
        if (co_await confirmed_by_members(*current)) {
            lease_.on_members_confirmed(current->epoch, asked_members);
        }
    }
    parts_.target.post_lease({current->epoch, lease_.valid_until(current->epoch)});
}

asio::awaitable<std::optional<std::int64_t>> order_coordinator::newest_epoch_by_log() {
    if (!parts_.relay.is_reader()) {
        const auto reader = parts_.relay.other_reader();
        const auto answered =
            co_await parts_.peers.send_request(reader, "/tail", service_, log_timeout);
        if (answered && !answered->empty()) {
            co_return std::stoll(*answered);
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

asio::awaitable<bool> order_coordinator::confirmed_by_members(orders::assignment current) {
    if (parts_.publisher.is_outstanding(assignment_topic(service_))) {
        co_return false;
    }
    for (const auto& member : current.members) {
        if (member == self_) {
            continue;
        }
        const auto* const known = parts_.gossip.members().find(member.id);
        if (known == nullptr) {
            co_return false;
        }
        const auto question = json::serialize(json::object{
            {"service", service_}, {"epoch", current.epoch}, {"process", member.process}});
        const std::string address = known->control_address;
        const auto answered =
            co_await parts_.peers.send_request(address, "/epoch", question, peer_timeout);
        if (!answered || *answered != "1") {
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
        const bool nothing_newer = current && current->epoch == epoch;
        const bool is_open = parts_.publisher.is_outstanding(assignment_topic(service));
        return is_same_process && nothing_newer && !is_open ? "1" : "0";
    } catch (const std::exception&) {
        return "0"; // a member is missing or has another type
    }
}

std::vector<orders::owner> order_coordinator::wanted_members() {
    std::vector<orders::owner> wanted;
    for (const auto& member : parts_.gossip.members().all()) {
        if (membership::is_accepting_work(member) && member.target->service == service_) {
            wanted.push_back({member.id, member.process});
        }
    }
    std::ranges::sort(wanted);
    return wanted;
}

bool order_coordinator::is_present(const orders::owner& candidate) {
    const auto* const known = parts_.gossip.members().find(candidate.id);
    return known != nullptr && known->process == candidate.process &&
           (known->state == membership::liveness::alive ||
            known->state == membership::liveness::suspect);
}

std::optional<duration>
order_coordinator::author_delay(const std::optional<orders::assignment>& current) {
    if (current) {
        int rank = 0;
        for (const auto& member : current->members) {
            if (member == self_) {
                return author_settling + rank * author_rank_delay;
            }
            rank += is_present(member) ? 1 : 0;
        }
        if (rank > 0) {
            return std::nullopt; // a member of the old epoch can write, and need not wait as long
        }
    }
    const auto place = std::ranges::find(last_wanted_, self_);
    if (place == last_wanted_.end()) {
        return std::nullopt;
    }
    const auto rank = place - last_wanted_.begin();
    auto first = author_settling;
    if (current) {
        first = any_was_restarted(*current) ? outsider_delay : stranger_delay;
    }
    return first + rank * author_rank_delay;
}

bool order_coordinator::any_was_restarted(const orders::assignment& current) const {
    return std::ranges::any_of(current.members, [this](const orders::owner& member) {
        const auto* const known = parts_.gossip.members().find(member.id);
        return known != nullptr && known->process > member.process;
    });
}

milliseconds order_coordinator::wait_for(const std::optional<orders::assignment>& current) const {
    orders::author_view seen;
    seen.is_first = !current;
    seen.is_member = current && current->contains(self_);
    seen.has_ended_member = current && any_was_restarted(*current);
    const auto quiet = quiet_until_.find(service_);
    if (quiet != quiet_until_.end()) {
        seen.remaining_delay =
            std::chrono::ceil<milliseconds>(quiet->second - runtime_clock::now());
    }
    const auto& settings = parts_.state.settings;
    return orders::takeover_delay(seen, {settings.lease, settings.outage_limit});
}

std::optional<records::record> order_coordinator::fill_in(records::record successor) {
    const auto current = current_assignment(service_);
    orders::assignment next;
    next.members = wanted_members();
    if (next.members.empty() || (current && current->members == next.members)) {
        return std::nullopt;
    }
    next.takeover_delay = wait_for(current);
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
            return fill_in(std::move(next));
        });
    if (result.how == publication::current) {
        ++assignments_written_;
    }
}

asio::awaitable<void> order_coordinator::author_loop() {
    co_await net::sleep_for(executor_, joining_time);
    while (true) {
        co_await net::sleep_for(executor_, author_interval);
        if (!service_has_orders()) {
            continue;
        }
        auto wanted = wanted_members();
        if (wanted != last_wanted_) {
            last_wanted_ = std::move(wanted);
            wanted_since_ = runtime_clock::now();
        }
        const auto current = current_assignment(service_);
        if (last_wanted_.empty() || (current && current->members == last_wanted_)) {
            continue;
        }
        const auto delay = author_delay(current);
        if (delay && runtime_clock::now() - wanted_since_ >= *delay) {
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
        // Epochs that were learnt together are each handed over, since the owners of the later one
        // may wait for takers of the earlier one. The map changes while a parcel is under way.
        const auto due = due_hand_overs_;
        for (const auto& [epoch, learnt_at] : due) {
            const bool is_too_late = runtime_clock::now() - learnt_at > hand_over_limit;
            if (is_too_late || co_await send_hand_overs(epoch)) {
                due_hand_overs_.erase(epoch);
            }
        }
    }
}

asio::awaitable<bool> order_coordinator::send_hand_overs(std::int64_t epoch) {
    const auto parcels = parts_.target.make_hand_overs(service_, epoch);
    if (!parcels) {
        co_return false;
    }
    bool all_sent = true;
    for (const auto& [id, parcel] : *parcels) {
        // A taker that is not known yet, or does not answer, gets it in a later round.
        const auto* const taker = parts_.gossip.members().find(id);
        if (taker == nullptr) {
            all_sent = false;
            continue;
        }
        const std::string address = taker->control_address;
        const auto body = encode(parcel);
        const auto answered =
            co_await parts_.peers.send_request(address, "/hand-over", body, peer_timeout);
        all_sent = all_sent && answered.has_value();
    }
    co_return all_sent;
}

} // namespace lavenderhoist::node
