#include "callers.hpp"

#include <map>

namespace lavenderhoist::soak {

namespace {

constexpr int time_left_ms = 1'500;
constexpr int status_ok = 200;
constexpr int status_unavailable = 503;
constexpr int status_not_found = 404;

} // namespace

callers::callers(platform_test::world& deployment, int count, std::uint64_t seed)
    : world_(deployment) {
    for (int i = 0; i < count; ++i) {
        threads_.emplace_back(
            [this, seed, i] { run(seed + static_cast<std::uint64_t>(i) * 7'919); });
    }
}

callers::~callers() {
    stop();
}

void callers::stop() {
    stop_ = true;
    for (auto& each : threads_) {
        if (each.joinable()) {
            each.join();
        }
    }
}

void callers::run(std::uint64_t seed) {
    std::mt19937_64 random(seed);
    while (!stop_) {
        auto result = send_one_request(random);
        served_ += result.status == status_ok ? 1 : 0;
        const std::lock_guard<std::mutex> lock(mutex_);
        observations_.push_back(std::move(result));
    }
}

callers::observation callers::send_one_request(std::mt19937_64& random) {
    observation result;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        result.id = world_.make_id();
    }
    result.is_order = random() % 2 == 0;
    result.path = (result.is_order ? "/order/" : "/read/") + result.id;
    const auto& through = world_.at(random() % world_.size());
    const auto answer = world_.send_request(through, result.is_order ? "POST" : "GET", result.path,
                                            result.id, time_left_ms);
    result.status = answer.code ? 0 : answer.answer.status;
    result.is_complete = answer.answer.body.ends_with(" ran " + result.path) &&
                         !net::find_header(answer.answer.fields, "x-response-signature").empty() &&
                         net::find_header(answer.answer.fields, "x-request-id") == result.id;
    return result;
}

std::vector<std::string> callers::find_violations() {
    std::map<std::string, int> runs;
    world_.run_on_stub_thread([&] {
        for (std::size_t i = 0; i < world_.size(); ++i) {
            for (const auto& each : world_.at(i).target->executions()) {
                ++runs[each.request_id];
            }
        }
    });
    std::vector<std::string> violations;
    for (const auto& each : observations_) {
        const auto found = runs.find(each.id);
        const int ran = found == runs.end() ? 0 : found->second;
        const auto description = each.path + " (status " + std::to_string(each.status) + ", ran " +
                                 std::to_string(ran) + " times): ";
        if (each.is_order && ran > 1) {
            violations.push_back(description + "an order ran more than once");
        }
        if (each.is_order && each.status == status_unavailable && ran > 0) {
            violations.push_back(description + "answered as not run, but ran");
        }
        if (each.status == status_ok && !each.is_complete) {
            violations.push_back(description +
                                 "the answer is not the complete answer of the target");
        }
        if (each.status == status_not_found) {
            violations.push_back(
                description + "rejected as not found although every configuration has its route");
        }
    }
    return violations;
}

} // namespace lavenderhoist::soak
