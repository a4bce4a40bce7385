#include "lavenderhoist/node/node.hpp"

#include "lavenderhoist/logging.hpp"
#include "lavenderhoist/net/timer.hpp"

#include <boost/asio/io_context.hpp>

#include <utility>

namespace lavenderhoist::node {
namespace {

/** Time for the announcement of the drain to reach every entry. */
constexpr duration drain_propagation_delay = std::chrono::milliseconds(2'000);
constexpr duration drain_timeout = std::chrono::seconds(60);
constexpr duration hand_over_timeout = std::chrono::seconds(15);
constexpr duration poll_interval = std::chrono::milliseconds(50);
constexpr duration departure_propagation_delay = std::chrono::milliseconds(300);

void block_for(duration length) {
    boost::asio::io_context context;
    net::timer pause(context, length);
    pause.wait();
}

} // namespace

node::node(config::node_settings settings)
    : state_(std::move(settings)),
      self_{state_.settings.id, static_cast<std::uint64_t>(wall_time().count())} {
    set_wall_offset(state_.settings.clock_offset);
    target_ = std::make_unique<target_worker>(state_, self_);
    for (int i = 0; i < state_.settings.entry_threads; ++i) {
        entries_.push_back(std::make_unique<entry_worker>(state_, static_cast<std::size_t>(i)));
    }
    control_ = std::make_unique<control_worker>(state_, self_, *target_, entries_);
    control_->on_drain_request([this] { request_drain(); });
}

node::~node() {
    // The control thread makes blocking calls to the other threads, so it is stopped first.
    control_->stop();
    target_->stop();
    for (const auto& entry : entries_) {
        entry->stop();
    }
}

void node::start() {
    for (const auto& entry : entries_) {
        entry->start();
    }
    target_->start();
    control_->start();
    logging::log_line(logging::severity::info, "node started", {{"started_ms", self_.process}});
}

void node::request_drain() {
    const std::lock_guard<std::mutex> lock(mutex_);
    drain_requested_ = true;
    drain_condition_.notify_all();
}

void node::run_until_drained() {
    {
        std::unique_lock<std::mutex> lock(mutex_);
        drain_condition_.wait(lock, [this] { return drain_requested_; });
    }
    drain();
}

void node::drain() {
    logging::log_line(logging::severity::info, "draining");
    state_.draining = true;
    control_->announce_drain();
    for (const auto& entry : entries_) {
        entry->drain();
    }
    block_for(drain_propagation_delay);
    const auto hand_over_until = runtime_clock::now() + hand_over_timeout;
    while (control_->has_order_duties() && runtime_clock::now() < hand_over_until) {
        block_for(poll_interval);
    }
    target_->drain();
    const auto drain_until = runtime_clock::now() + drain_timeout;
    wait_until_idle(drain_until);
    for (const auto& entry : entries_) {
        entry->close_idle();
    }
    wait_until_idle(drain_until); // callers may not have all of their answers yet
    control_->announce_departure();
    block_for(departure_propagation_delay);
    logging::log_line(logging::severity::info, "drained");
}

bool node::is_idle() {
    const auto target = target_->status();
    std::size_t entry_requests = 0;
    for (const auto& entry : entries_) {
        entry_requests += entry->requests_in_flight();
    }
    return target.calls_in_flight + target.undelivered_peers + target.egress_in_flight +
               entry_requests ==
           0;
}

void node::wait_until_idle(time_point deadline) {
    while (!is_idle() && runtime_clock::now() < deadline) {
        block_for(poll_interval);
    }
}

} // namespace lavenderhoist::node
