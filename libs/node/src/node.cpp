#include "lavenderhoist/node/node.hpp"

#include "lavenderhoist/logging.hpp"
#include "lavenderhoist/net/timer.hpp"

#include <boost/asio/io_context.hpp>

#include <utility>

namespace lavenderhoist::node {
namespace {

/** Time for the news of the drain to reach every entry. */
constexpr duration drain_notice = std::chrono::milliseconds(2'000);
constexpr duration drain_limit = std::chrono::seconds(60);
constexpr duration hand_over_limit = std::chrono::seconds(15);
constexpr duration poll_interval = std::chrono::milliseconds(50);
constexpr duration departure_notice = std::chrono::milliseconds(300);

void wait_for(duration length) {
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
    // The control thread calls the others and waits for them, so it ends first.
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
    drain_wanted_.notify_all();
}

void node::run_until_drained() {
    {
        std::unique_lock<std::mutex> lock(mutex_);
        drain_wanted_.wait(lock, [this] { return drain_requested_; });
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
    wait_for(drain_notice);
    const auto hand_over_by = runtime_clock::now() + hand_over_limit;
    while (control_->has_order_duties() && runtime_clock::now() < hand_over_by) {
        wait_for(poll_interval);
    }
    target_->drain();
    wait_until_idle(runtime_clock::now() + drain_limit);
    for (const auto& entry : entries_) {
        entry->close_idle();
    }
    control_->announce_departure();
    wait_for(departure_notice);
    logging::log_line(logging::severity::info, "drained");
}

bool node::is_idle() {
    const auto target = target_->status();
    std::size_t entering = 0;
    for (const auto& entry : entries_) {
        entering += entry->requests_in_flight();
    }
    return target.calls_in_flight == 0 && target.egress_in_flight == 0 && entering == 0;
}

void node::wait_until_idle(time_point deadline) {
    while (!is_idle() && runtime_clock::now() < deadline) {
        wait_for(poll_interval);
    }
}

} // namespace lavenderhoist::node
