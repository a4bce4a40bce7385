#include "departures.hpp"

#include "lavenderhoist/harness/http.hpp"

#include <algorithm>

namespace lavenderhoist::soak {

using platform_test::host;
using platform_test::proxy_mode;

namespace {

/** The users' bound: no request reaches a target later than this after its acknowledged leave. */
constexpr duration drain_time = std::chrono::seconds(2);

/** How long a target serves beyond that. */
constexpr duration overstay = std::chrono::seconds(1);

constexpr int max_gap_ms = 800;
constexpr int max_lateness_ms = 1'500;
constexpr int max_clock_jump_ms = 5'000;
constexpr int max_attempts = 6;
constexpr duration attempt_interval = milliseconds(700);
constexpr int status_ok = 200;

} // namespace

target_departures::target_departures(platform_test::world& deployment, fault_plan& faults,
                                     std::uint64_t seed)
    : world_(deployment), faults_(faults), random_(seed), thread_([this] { run(); }) {}

target_departures::~target_departures() {
    stop();
}

void target_departures::stop() {
    stops_ = true;
    if (thread_.joinable()) {
        thread_.join();
    }
}

void target_departures::pause_for(duration length) {
    harness::pause_for(length);
}

void target_departures::run() {
    while (!stops_) {
        pause_for(milliseconds(draw(max_gap_ms)));
        depart(world_.at(static_cast<std::size_t>(draw(static_cast<int>(world_.size())))));
    }
}

void target_departures::depart(host& leaving) {
    if (draw(2) == 0) {
        world_.run_on_stub_thread([&] { leaving.to_store->set_mode(proxy_mode::silent); });
    }
    if (announce_departure(leaving)) {
        periods_.push_back({&leaving, runtime_clock::now()});
        if (draw(2) == 0) {
            faults_.kill_soon(leaving);
        }
        const auto lateness = milliseconds(draw(max_lateness_ms));
        pause_for(lateness);
        // It was in flight when the target left.
        world_.await([&] { return leaving.target->send_late_heartbeat(); });
        pause_for(drain_time + overstay - lateness);
        periods_.back().restarted_at = runtime_clock::now();
    }
    restart(leaving);
}

bool target_departures::announce_departure(host& leaving) {
    const bool signs_off = draw(2) == 0;
    if (!signs_off) {
        world_.run_on_stub_thread([&] { leaving.target->leave(); });
    }
    for (int i = 0; i < max_attempts; ++i) {
        const int status = world_.await([&] {
            return signs_off ? leaving.target->sign_off() : leaving.target->send_heartbeat();
        });
        if (status == status_ok) {
            return true;
        }
        pause_for(attempt_interval);
    }
    return false; // a target that gets no acknowledgement ends all the same
}

void target_departures::restart(host& departed) {
    const auto id = departed.target->settings().id;
    const bool keeps_id = draw(2) == 0;
    const milliseconds jump(draw(2 * max_clock_jump_ms) - max_clock_jump_ms);
    world_.run_on_stub_thread([&] {
        departed.target->restart(
            keeps_id ? id : "target-of-" + departed.id + "-" + std::to_string(++starts_), jump);
        departed.to_store->set_mode(proxy_mode::pass);
        departed.to_store->reset_all();
    });
}

std::vector<std::string> target_departures::find_late_executions() {
    std::vector<std::string> found;
    for (const auto& period : periods_) {
        const auto runs =
            world_.run_on_stub_thread([&] { return period.where->target->executions(); });
        const auto late = std::ranges::count_if(runs, [&](const auto& each) {
            return each.started_at > period.acknowledged_at + drain_time &&
                   each.started_at < period.restarted_at;
        });
        if (late > 0) {
            found.push_back(period.where->id + "'s target executed " + std::to_string(late) +
                            " requests later than 2 s after its acknowledged leave");
        }
    }
    return found;
}

} // namespace lavenderhoist::soak
