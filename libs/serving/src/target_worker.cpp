#include "lavenderhoist/serving/target_worker.hpp"

#include "lavenderhoist/core/hash.hpp"

#include "lavenderhoist/call/problem.hpp"
#include "lavenderhoist/net/sleep.hpp"
#include "lavenderhoist/net/spawn.hpp"

#include <algorithm>
#include <random>
#include <utility>

namespace lavenderhoist::node {

namespace asio = boost::asio;

namespace {

constexpr std::size_t max_header_bytes = 32U << 10U;
constexpr std::size_t max_egress_connections = 4'096;
constexpr duration egress_timeout = std::chrono::seconds(30);
constexpr duration egress_idle_timeout = std::chrono::minutes(5);
constexpr duration announcement_lifetime = std::chrono::seconds(3);
constexpr milliseconds key_retention = std::chrono::minutes(10);
constexpr int idle_close_ticks = 100;

/** Time for which a draining target still accepts calls, until the update reaches all nodes. */
constexpr duration drain_propagation_time = std::chrono::seconds(2);

std::uint64_t random_seed() {
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

net::tcp::endpoint endpoint_of(const config::address& where) {
    return net::make_endpoint(where.host, where.port);
}

} // namespace

target_worker::target_worker(node_state& state, orders::owner self)
    : state_(state),
      front_(random_seed()),
      dispatcher_(state, worker_.executor(), counters_, random_seed()),
      orders_(worker_.executor(), std::move(self), {state.settings.clock_bound, key_retention},
              state.settings.id) {
    const auto& settings = state.settings;
    calls_ = std::make_unique<net::h2_server>(
        net::listen(worker_.executor(), endpoint_of(settings.calls)), settings.max_body_bytes,
        [this](net::request message, net::cancellation_ptr cancelled) {
            return serve_call(std::move(message), std::move(cancelled));
        });
    const net::http_server::limits bounds{max_egress_connections, max_header_bytes,
                                          settings.max_body_bytes, egress_timeout,
                                          egress_idle_timeout};
    egress_ = std::make_unique<net::http_server>(
        net::listen(worker_.executor(), endpoint_of(settings.egress)), bounds,
        [this](net::request message, std::string /*peer*/, net::cancellation_ptr cancelled) {
            return serve_egress(std::move(message), std::move(cancelled));
        },
        &render_fault);
}

target_worker::~target_worker() {
    stop();
}

void target_worker::start() {
    calls_->start();
    egress_->start();
    net::spawn(worker_.executor(), tick_loop());
    worker_.start();
}

void target_worker::stop() {
    worker_.stop();
}

void target_worker::drain() {
    worker_.run_here([this] {
        draining_ = true;
        calls_->drain();
    });
}

void target_worker::post_assignment(const orders::assignment& next) {
    asio::post(worker_.context(), [this, next] { orders_.on_assignment(next); });
}

void target_worker::post_lease(const lease_grant& grant) {
    asio::post(worker_.context(), [this, grant] { orders_.on_lease(grant); });
}

void target_worker::post_hand_over(hand_over given) {
    asio::post(worker_.context(), [this, given = std::move(given)]() mutable {
        orders_.accept_hand_over(std::move(given));
        counters_.count("orders.hand_overs.accepted");
    });
}

void target_worker::post_quarantine(std::vector<std::uint64_t> suspects,
                                    std::vector<std::uint64_t> quarantined) {
    asio::post(worker_.context(),
               [this, suspects = std::move(suspects), quarantined = std::move(quarantined)] {
                   // Each message is about an end that only its sender has seen.
                   add_suspicions(suspects, next_end());
                   for (std::size_t i = 1; i < quarantine::crash_ledger::ends_to_quarantine; ++i) {
                       add_suspicions(quarantined, next_end());
                   }
               });
}

std::uint64_t target_worker::next_end() {
    return mix(stable_hash(state_.settings.id) ^ ++last_end_);
}

void target_worker::add_suspicions(std::span<const std::uint64_t> requests, std::uint64_t end) {
    const auto now = wall_time();
    std::vector<quarantine::suspicion> found;
    for (const auto request : requests) {
        found.push_back({request, end, now});
    }
    crashes_.merge(found, now);
}

std::optional<std::map<std::string, hand_over>>
target_worker::make_hand_overs(const std::string& service, std::int64_t epoch) {
    return worker_.run_here(
        [this, &service, epoch] { return orders_.make_hand_overs(service, epoch); });
}

target_status target_worker::status() {
    return worker_.run_here([this] {
        target_status result;
        result.target = announced_;
        result.slots = slots_;
        result.orders_running = orders_.running_orders();
        result.orders_kept = orders_.stored_keys();
        result.epoch = orders_.epoch();
        result.is_leased = orders_.has_lease();
        result.horizon = orders_.latest_horizon();
        result.is_settled = orders_.is_settled();
        result.calls_in_flight = calls_->requests_in_flight();
        result.undelivered_peers = calls_->undelivered_connections();
        result.egress_in_flight = egress_->requests_in_flight();
        for (const auto& [route, callees] : downstream_levels_) {
            for (const auto& [callee, received] : callees) {
                auto& max_level = result.callee_levels[callee];
                max_level = std::max(max_level, received.level(runtime_clock::now()));
            }
        }
        if (gate_) {
            const auto& controller = gate_->controller();
            result.limit = controller.limit();
            result.in_flight = controller.in_flight();
            result.waiting = controller.waiting();
            result.level = controller.level();
        }
        if (target_) {
            result.target_connections = target_->open_connections();
        }
        return result;
    });
}

metrics::recorder target_worker::collect() {
    return worker_.run_here([this] { return counters_; });
}

net::response target_worker::accept_announcement(const net::request& message) {
    const auto given = decode_announcement(message.body);
    if (!given) {
        return render_fault(400, "not an announcement");
    }
    last_announcement_at_ = runtime_clock::now();
    if (announced_ != given) {
        const bool is_new = !announced_ || announced_->generation != given->generation ||
                            announced_->where != given->where;
        if (given->draining) {
            drain_announced_at_ = last_announcement_at_;
        }
        announced_ = given;
        if (is_new) {
            reset_target_state();
        }
        apply_configuration();
        notified_healthy_ = true;
        announcement_handler_(announced_);
    }
    net::response accepted;
    accepted.status = 204;
    return accepted;
}

void target_worker::apply_configuration() {
    if (!announced_) {
        return;
    }
    const auto [generation, config] = state_.view.read(
        [](const routing_view& view) { return std::pair(view.generation, view.config); });
    if (generation == applied_generation_ || !config) {
        return;
    }
    applied_generation_ = generation;
    const auto* const service = config->find_service(announced_->service);
    if (service == nullptr) {
        return;
    }
    slots_ = service->slots;
    callee_slots_ = std::max(1, service->slots * service->callee_share_percent / 100);
    if (!gate_) {
        gate_ = std::make_shared<admission_gate>(worker_.executor(), slots_);
    }
    gate_->controller().resize(slots_);
    for (const auto& [callee, gate] : callee_gates_) {
        gate->controller().resize(callee_slots_);
    }
    if (!target_) {
        const net::http_client::limits bounds{static_cast<std::size_t>(service->connections),
                                              state_.settings.max_body_bytes};
        target_ = std::make_unique<net::http_client>(worker_.executor(),
                                                     endpoint_of(announced_->where), bounds);
    }
}

void target_worker::reset_target_state() {
    if (gate_) {
        gate_->close();
    }
    gate_.reset();
    target_.reset();
    applied_generation_ = 0;
    target_is_down_ = false;
}

void target_worker::notify_health_change() {
    const bool is_healthy = health_.is_healthy(runtime_clock::now());
    if (!announced_ || !state_.settings.policy || is_healthy == notified_healthy_) {
        return;
    }
    notified_healthy_ = is_healthy;
    counters_.count(is_healthy ? "target.fit_again" : "target.unfit");
    // An unhealthy target is announced to other nodes as draining: it gets no new calls, and its
    // orders move to other owners.
    auto update = *announced_;
    update.draining = update.draining || !is_healthy;
    announcement_handler_(update);
}

void target_worker::withdraw_target() {
    announced_.reset();
    reset_target_state();
    counters_.count("target.withdrawn");
    announcement_handler_(std::nullopt);
}

bool target_worker::is_leaving() const {
    if (draining_) {
        return true;
    }
    return announced_ && announced_->draining &&
           runtime_clock::now() - drain_announced_at_ > drain_propagation_time;
}

asio::awaitable<void> target_worker::tick_loop() {
    int ticks = 0;
    while (true) {
        co_await net::sleep_for(worker_.executor(), admission::controller::window_length);
        apply_configuration();
        if (gate_) {
            gate_->on_window();
        }
        for (const auto& [callee, gate] : callee_gates_) {
            gate->on_window();
        }
        orders_.on_tick();
        notify_health_change();
        if (!target_is_down_) {
            lost_digests_.clear();
        }
        if (announced_ && runtime_clock::now() - last_announcement_at_ > announcement_lifetime) {
            withdraw_target();
        }
        if (++ticks % idle_close_ticks == 0) {
            dispatcher_.close_idle_connections();
        }
    }
}

} // namespace lavenderhoist::node
