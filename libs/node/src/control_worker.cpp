#include "lavenderhoist/node/control_worker.hpp"

#include "lavenderhoist/call/call_codec.hpp"
#include "lavenderhoist/core/hash.hpp"
#include "lavenderhoist/logging.hpp"
#include "lavenderhoist/net/spawn.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <utility>

namespace lavenderhoist::node {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::size_t max_message_bytes = 8U << 20U;
constexpr duration peer_timeout = std::chrono::seconds(1);

membership::member make_self(const config::node_settings& settings, std::uint64_t process) {
    membership::member self;
    self.id = settings.id;
    self.process = process;
    // A later process of the same host must override membership entries about earlier ones.
    self.incarnation = process;
    self.data_centre = settings.data_centre;
    self.control_address = config::to_string(settings.control);
    self.call_address = config::to_string(settings.calls);
    return self;
}

net::tcp::endpoint endpoint_of(const config::address& where) {
    return net::make_endpoint(where.host, where.port);
}

std::vector<std::uint64_t> digests_of(const json::value& list) {
    std::vector<std::uint64_t> result;
    for (const auto& digest : list.as_array()) {
        result.push_back(digest.to_number<std::uint64_t>());
    }
    return result;
}

} // namespace

control_worker::control_worker(node_state& state, orders::owner self, target_worker& target,
                               std::span<const std::unique_ptr<entry_worker>> entries)
    : state_(state),
      self_(std::move(self)),
      target_(target),
      entries_(entries),
      peers_(worker_.executor(), state.settings.deployment_secret),
      log_(worker_.executor(), endpoint_of(state.settings.log)),
      follower_(worker_.executor(), log_, store_),
      gossip_(worker_.executor(), peers_, make_self(state.settings, self_.process),
              {[this] { publish_view(); }, [this] { return store_.digest(); },
               [this](std::string address) {
                   net::spawn(worker_.executor(), relay_.reconcile(std::move(address)));
               },
               [this] { return contacts(); },
               [this](std::string peer, milliseconds difference) {
                   on_clock_compared(peer, difference);
               }},
              mix(self_.process ^ stable_hash(self_.id))),
      relay_(worker_.executor(), peers_, gossip_, follower_, store_),
      publisher_(log_, follower_, store_),
      orders_(worker_.executor(),
              {state, peers_, gossip_, follower_, relay_, publisher_, store_, target}, self_),
      renewer_(worker_.executor(), gossip_, log_, follower_, relay_, publisher_, store_) {
    relay_.on_change([this](const records::located_record& fresh) { on_record(fresh); });
    server_ = std::make_unique<net::h2_server>(
        net::listen(worker_.executor(), endpoint_of(state.settings.control)), max_message_bytes,
        [this](net::request message, net::cancellation_ptr /*cancelled*/) {
            return serve(std::move(message));
        });
    admin_ = std::make_unique<admin_api>(
        net::listen(worker_.executor(), endpoint_of(state.settings.admin)),
        state.settings.admin_token, make_actions());
    target_.on_announcement_change([this](std::optional<announcement> announced) {
        asio::post(worker_.context(), [this, announced = std::move(announced)]() mutable {
            on_announcement(std::move(announced));
        });
    });
    target_.on_poison([this](std::vector<std::uint64_t> suspects,
                             std::vector<std::uint64_t> quarantined) {
        net::spawn(worker_.executor(), send_poison(std::move(suspects), std::move(quarantined)));
    });
}

control_worker::~control_worker() {
    stop();
}

void control_worker::start() {
    server_->start();
    admin_->start();
    net::spawn(worker_.executor(), gossip_.run());
    net::spawn(worker_.executor(), relay_.run());
    net::spawn(worker_.executor(), renewer_.run());
    orders_.start();
    worker_.start();
}

void control_worker::stop() {
    worker_.stop();
}

std::vector<std::string> control_worker::contacts() const {
    auto result = follower_.contacts();
    for (const auto& contact : state_.settings.contacts) {
        result.push_back(config::to_string(contact));
    }
    return result;
}

asio::awaitable<net::response> control_worker::serve(net::request message) {
    const auto secret = net::find_header(message.fields, "lh-secret");
    if (!is_same_secret(secret, state_.settings.deployment_secret)) {
        net::response refused;
        refused.status = 401;
        co_return refused;
    }
    ++served_messages_;
    served_bytes_ += message.body.size();
    net::response answered;
    answered.status = 200;
    answered.body = co_await answer(std::move(message.path), std::move(message.body));
    served_bytes_ += answered.body.size();
    co_return answered;
}

asio::awaitable<std::string> control_worker::answer(std::string path, std::string body) {
    if (path == "/gossip") {
        co_return gossip_.answer(body);
    }
    if (path == "/gossip/repair") {
        gossip_.accept_repair(body);
        co_return std::string();
    }
    if (path == "/probe") {
        const bool answered = co_await gossip_.probe_for(std::move(body));
        co_return answered ? "1" : "0";
    }
    if (path == "/records") {
        relay_.accept_push(body);
        co_return std::string();
    }
    if (path == "/records/pull") {
        co_return relay_.answer_pull(body);
    }
    if (path == "/tail") {
        co_return co_await orders_.answer_tail_read(std::move(body));
    }
    if (path == "/epoch") {
        co_return orders_.answer_epoch_check(body);
    }
    if (path == "/hand-over") {
        if (auto given = decode_hand_over(body)) {
            target_.post_hand_over(std::move(*given));
        }
        co_return std::string();
    }
    if (path == "/poison") {
        accept_poison(body);
    }
    co_return std::string();
}

void control_worker::accept_poison(std::string_view body) {
    json::error_code failed;
    const auto parsed = json::parse(body, failed);
    if (failed || !parsed.is_object()) {
        return;
    }
    try {
        target_.post_quarantine(digests_of(parsed.at("suspects")),
                                digests_of(parsed.at("quarantined")));
    } catch (const std::exception&) {
        return; // a member is missing or has the wrong type
    }
}

asio::awaitable<void> control_worker::send_poison(std::vector<std::uint64_t> suspects,
                                                  std::vector<std::uint64_t> quarantined) {
    logging::log_line(logging::severity::warning, "target died",
                      {{"suspects", suspects.size()}, {"quarantined", quarantined.size()}});
    const auto& local_target = gossip_.members().self().target;
    const auto service = local_target ? local_target->service : std::string();
    json::object object;
    object["suspects"] = json::value_from(suspects);
    object["quarantined"] = json::value_from(quarantined);
    const auto body = json::serialize(object);
    for (const auto& member : gossip_.members().all()) {
        const bool serves_same_service =
            member.id != self_.id && member.target && member.target->service == service;
        if (serves_same_service && member.state == membership::liveness::alive) {
            co_await peers_.send_request(member.control_address, "/poison", body, peer_timeout);
        }
    }
}

void control_worker::on_announcement(std::optional<announcement> announced) {
    std::optional<membership::target_info> info;
    if (announced) {
        info = membership::target_info{announced->service, announced->generation,
                                       announced->draining || state_.draining.load()};
        orders_.on_service(announced->service);
    }
    logging::log_line(logging::severity::info, announced ? "target announced" : "target withdrawn",
                      {{"service", announced ? announced->service : std::string()},
                       {"draining", announced && announced->draining}});
    gossip_.members().update_self(info);
    publish_view();
    gossip_.spread();
}

void control_worker::on_record(const records::located_record& fresh) {
    if (fresh.content.topic.type == records::record_type::configuration) {
        auto parsed = config::parse_deployment(fresh.content.body, "configuration");
        if (auto* const deployment = std::get_if<config::deployment>(&parsed)) {
            config_ = std::make_shared<const config::deployment>(std::move(*deployment));
            config_version_ = fresh.content.version;
            logging::log_line(logging::severity::info, "configuration in force",
                              {{"version", config_version_}});
        } else {
            logging::log_line(logging::severity::error, "configuration on the log is invalid",
                              {{"version", fresh.content.version}});
        }
    }
    orders_.on_record(fresh);
    publish_view();
}

void control_worker::on_clock_compared(const std::string& peer, milliseconds difference) {
    // The majority decides: one peer with a wrong clock must not stop the orders of other nodes,
    // while a node whose own clock is wrong differs from most peers.
    const bool is_out_of_bound = difference > state_.settings.clock_bound * 2;
    clock_comparisons_.push_back(is_out_of_bound);
    if (clock_comparisons_.size() > max_clock_comparisons) {
        clock_comparisons_.pop_front();
    }
    const auto out_of_bound = std::ranges::count(clock_comparisons_, true);
    const bool is_faulty = static_cast<std::size_t>(out_of_bound) * 2 > clock_comparisons_.size();
    if (is_faulty == clock_fault_) {
        return;
    }
    clock_fault_ = is_faulty;
    orders_.set_clock_fault(is_faulty);
    logging::log_line(is_faulty ? logging::severity::error : logging::severity::info,
                      is_faulty ? "clock out of bound, orders stop" : "clock within bound",
                      {{"peer", peer}, {"difference_ms", difference.count()}});
}

void control_worker::publish_view() {
    auto view = std::make_unique<routing_view>();
    view->generation = ++generation_;
    view->config = config_;
    view->config_version = config_version_;
    add_targets(*view);
    add_assignments(*view);
    state_.view.replace(std::move(view));
}

void control_worker::add_targets(routing_view& view) const {
    for (const auto& member : gossip_.members().all()) {
        const bool is_present = member.state == membership::liveness::alive ||
                                member.state == membership::liveness::suspect;
        const auto where = config::parse_address(member.call_address);
        if (!is_present || !member.target || !where) {
            continue;
        }
        view.targets[member.target->service].push_back(
            {member.id, stable_hash(member.id), member.process, endpoint_of(*where),
             member.data_centre == state_.settings.data_centre,
             membership::is_accepting_work(member)});
    }
}

void control_worker::add_assignments(routing_view& view) const {
    for (const auto& one : store_.all()) {
        if (one.content.topic.type != records::record_type::assignment) {
            continue;
        }
        if (auto assignment = orders::decode_body(one.content.body, one.content.version)) {
            view.assignments[one.content.topic.subject] = std::move(*assignment);
        }
    }
}

void control_worker::announce_drain() {
    worker_.run_here([this] {
        auto info = gossip_.members().self().target;
        if (info) {
            info->draining = true;
            gossip_.members().update_self(info);
        }
        publish_view();
        gossip_.spread();
    });
}

bool control_worker::has_order_duties() {
    return worker_.run_here([this] { return orders_.has_duties(); });
}

void control_worker::announce_departure() {
    worker_.run_here([this] {
        gossip_.members().leave();
        gossip_.spread();
    });
}

} // namespace lavenderhoist::node
