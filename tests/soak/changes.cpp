#include "changes.hpp"

#include <algorithm>
#include <utility>

namespace lavenderhoist::soak {

namespace {

/** Time from a publication until all nodes must apply it. */
constexpr duration max_apply_time = std::chrono::seconds(2);

constexpr int min_gap_ms = 200;
constexpr int max_gap_ms = 1'200;

/** One change in this many comes with connections that fall silent. */
constexpr unsigned changes_per_silence = 3;

constexpr int status_ok = 200;

} // namespace

configuration_changes::configuration_changes(platform_test::world& deployment,
                                             std::vector<platform_test::route_spec> routes,
                                             std::uint64_t seed)
    : world_(deployment), routes_(std::move(routes)), random_(seed), thread_([this] { run(); }) {}

configuration_changes::~configuration_changes() {
    stop();
}

void configuration_changes::stop() {
    stops_ = true;
    if (thread_.joinable()) {
        thread_.join();
    }
}

void configuration_changes::publish_next() {
    newest_path_ = "/added-" + std::to_string(++published_) + "/";
    auto routes = routes_;
    routes.push_back({newest_path_, routes_.back().service});
    world_.publish(routes);
}

void configuration_changes::run() {
    std::uniform_int_distribution<int> gap_ms(min_gap_ms, max_gap_ms);
    while (!stops_) {
        publish_next();
        if (random_() % changes_per_silence == 0) {
            auto& victim = world_.at(random_() % world_.size());
            world_.run_on_stub_thread([&victim] { victim.to_store->silence_open(); });
        }
        const auto until = runtime_clock::now() + milliseconds(gap_ms(random_));
        platform_test::wait_until([&] { return stops_ || runtime_clock::now() >= until; },
                                  milliseconds(max_gap_ms));
    }
}

std::vector<std::string> configuration_changes::find_outdated() {
    for (std::size_t i = 0; i < world_.size(); i += 2) {
        auto& victim = world_.at(i);
        world_.run_on_stub_thread([&victim] { victim.to_store->silence_open(); });
    }
    publish_next();
    const auto bound = runtime_clock::now() + max_apply_time;
    std::vector<std::string> outdated;
    for (std::size_t i = 0; i < world_.size(); ++i) {
        const auto& node = world_.at(i);
        const auto left = std::max<duration>(duration(0), bound - runtime_clock::now());
        const bool is_in_force = platform_test::wait_until(
            [&] {
                const auto id = world_.make_id();
                return world_.send_request(node, "GET", newest_path_ + "x", id, 500)
                           .answer.status == status_ok;
            },
            left);
        if (!is_in_force) {
            outdated.push_back(node.id + " has not applied a configuration within 2 s");
        }
    }
    return outdated;
}

} // namespace lavenderhoist::soak
