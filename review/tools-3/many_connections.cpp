// Many small chunked bodies at once, each of which stops just short of its end: ordinary callers
// must still get answers.

#include "crowd.hpp"

using namespace review;

namespace {

/** The rule asks for seven clients or more that try. */
constexpr std::size_t clients = 10;
constexpr std::size_t crowd_connections = 3'300;
constexpr std::size_t chunk_bytes = 5;
constexpr int fill_ms = 1000;
constexpr int crowd_stays_ms = 5000;

/** Times at which a new connection was tried, and at which one was served. */
struct tries {
    std::mutex mutex;
    std::vector<double> tried;
    std::vector<double> served;
    std::vector<double> ready;
    std::vector<double> not_ready;
};

void try_connections(record& log, const machine& through, std::size_t number, tries& seen,
                     const std::atomic<bool>& stopping) {
    for (int i = 0; !stopping; ++i) {
        const auto id = "c" + std::to_string(number) + "-" + std::to_string(i);
        const double begun = log.seconds();
        connection to;
        const bool is_open = to.open(through.callers);
        std::optional<message> answered;
        if (is_open && to.send(request_head("GET", "/leny950/2f", id, 3000) + "\r\n")) {
            answered = to.receive(3000);
        }
        log.line("client tries a new connection for " + id + ": " +
                 (answered  ? std::to_string(answered->status())
                  : is_open ? std::string(to.end())
                            : "not accepted"));
        {
            const std::lock_guard lock(seen.mutex);
            seen.tried.push_back(begun);
            if (answered) {
                seen.served.push_back(begun);
            }
        }
        sleep_ms(200);
    }
}

/** The longest time in which no new connection was taken although the machine said throughout that
 * it is ready. */
double longest_refusal(const tries& seen, double until) {
    auto served = seen.served;
    std::sort(served.begin(), served.end());
    served.push_back(until);
    double longest = 0;
    for (std::size_t i = 1; i < served.size(); ++i) {
        const double from = served[i - 1];
        const double to = served[i];
        const auto lies_within = [&](double at) { return at >= from && at <= to; };
        const bool was_ready =
            std::none_of(seen.not_ready.begin(), seen.not_ready.end(), lies_within);
        if (was_ready) {
            longest = std::max(longest, to - from);
        }
    }
    return longest;
}

int run(deployment& system, record& log) {
    if (!system.start_store()) {
        return exit_not_run;
    }
    system.configure({{"/leny950/", "papan-celah", "idempotent", 6000}});
    auto& first = system.add("papan-celah");
    system.add("papan-celah");
    system.watch();
    crowd others(first, crowd_connections, 1, chunk_bytes);
    if (!others.reserve_descriptors() || !system.wait_until_ready()) {
        return exit_not_run;
    }
    sleep_ms(site::stability_ms + 1000);
    auto& seen = *new tries;
    std::atomic<bool> stopping{false};
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < clients; ++i) {
        threads.emplace_back([&, i] { try_connections(log, first, i, seen, stopping); });
    }
    threads.emplace_back([&] {
        while (!stopping) {
            const double asked = log.seconds();
            const int status = deployment::readiness(first);
            log.line("platform asks whether " + first.name +
                     " is ready: " + std::to_string(status));
            {
                const std::lock_guard lock(seen.mutex);
                (status == 200 ? seen.ready : seen.not_ready).push_back(asked);
            }
            sleep_ms(1000);
        }
    });
    sleep_ms(2000);
    if (has_trouble()) {
        others.open(fill_ms);
        others.send();
        log.line(std::to_string(others.size()) + " clients have sent a body of " +
                 std::to_string(others.body_bytes()) + " bytes, all but its last byte, to " +
                 first.name);
    }
    if (has_trouble()) {
        others.persist(crowd_stays_ms);
    } else {
        sleep_ms(crowd_stays_ms);
    }
    others.close();
    sleep_ms(2000);
    const double until = log.seconds();
    stopping = true;
    for (auto& each : threads) {
        each.join();
    }
    const double longest = longest_refusal(seen, until);
    char text[128];
    std::snprintf(text, sizeof(text),
                  "tries %zu, taken %zu, longest time without one while ready %.3f s, answers "
                  "that it is ready %zu, others %zu",
                  seen.tried.size(), seen.served.size(), longest, seen.ready.size(),
                  seen.not_ready.size());
    log.line(text);
    if (seen.served.empty()) {
        return exit_not_run;
    }
    return longest * 1000 > site::stability_ms ? exit_broken : exit_held;
}

} // namespace

int main(int argc, char** argv) {
    return run_case(argc, argv, run);
}
