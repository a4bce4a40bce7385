// A back end goes down and up while the time of day jumps: its last start has the lower `born`. Its
// leave is acknowledged and ignored.

#include "../common/standin.h"

namespace {

using namespace review;

constexpr std::int64_t drain_ms = 2500;     // DrainMs
constexpr std::int64_t stability_ms = 3000; // StabilityMs
constexpr std::int64_t step_ms = 2400;      // clock_step: x
constexpr milliseconds step_length{6000};   // clock_step: for_s
constexpr milliseconds flap_period{1400};   // srv_flap: gap_s
constexpr int flaps = 3;                    // 4.2 s of the 6.5 s of srv_flap
constexpr int back_ends = 10;               // one of them: the share 0.1 of srv_flap
constexpr milliseconds served_after_leave{6000};

struct observed {
    bool stop{false};
    bool counts{false};
    int lost{0};
};

awaitable<void> keep_asking(asio::io_context& context, deployment& world, const machine& which,
                            recorder& record, observed& seen) {
    client caller(context, world.callers(which), &record);
    while (!seen.stop) {
        const auto id = world.new_id();
        auto message = make_request(http::verb::post, world.host, "/order/" + id, id);
        message.body() = std::string(1200, 'x');
        const bool counts = seen.counts;
        const auto result = co_await caller.exchange(std::move(message), milliseconds(2500));
        if (counts && result.status != 200) {
            record.line("failed    " + id + " status " + std::to_string(result.status) + ", runs " +
                        std::to_string(world.count_runs(id)));
            seen.lost += result.status != 503 && world.count_runs(id) > 0 ? 1 : 0;
        }
        co_await sleep_for(milliseconds(40));
    }
}

awaitable<int> scenario(asio::io_context& context, deployment& world, recorder& record,
                        bool trouble) {
    for (int i = 0; i < back_ends; ++i) {
        world.add("dieng", "posko-palang", milliseconds(120), 190);
    }
    world.add("sindoro", "papan-celah", milliseconds(90), 96);
    world.publish({{"order", "/order/", "posko-palang", false, 2500},
                   {"status", "/status/", "papan-celah", true, 5000}});
    for (const auto& each : world.machines) {
        world.start(*each);
        each->app->start_beats();
    }
    if (!co_await world.settle("/order/settle", milliseconds(20'000))) {
        record.line("the deployment did not become ready");
        co_return 2;
    }
    observed seen;
    auto& leaving = *world.machines[0];
    auto& entry = *world.machines.back();
    for (int i = 0; i < 32; ++i) {
        asio::co_spawn(context, keep_asking(context, world, entry, record, seen), asio::detached);
    }
    co_await sleep_for(milliseconds(stability_ms));
    if (trouble) {
        const auto stepped_at = steady::now();
        record.line("clock     of " + leaving.name + " jumps " + std::to_string(step_ms) +
                    " ms ahead for " + std::to_string(step_length.count()) + " ms");
        co_await sleep_for(milliseconds(2900));
        for (int i = 0; i < flaps; ++i) {
            leaving.app->end();
            co_await sleep_for(flap_period / 2);
            const bool is_ahead = steady::now() - stepped_at < step_length;
            leaving.app->restart(wall_ms() + (is_ahead ? step_ms : 0));
            leaving.app->start_beats();
            record.line("flap      the back end starts again under its id, born " +
                        std::to_string(leaving.app->born()) + (is_ahead ? " (clock ahead)" : ""));
            co_await sleep_for(flap_period / 2);
        }
    }
    co_await sleep_for(milliseconds(2 * stability_ms));
    seen.counts = true;
    co_await sleep_for(milliseconds(500));

    leaving.app->state = "draining";
    const int left = co_await leaving.app->send_beat();
    const auto acknowledged_at = record.now_ms();
    record.line("leave     the back end of " + leaving.name + " says draining, status " +
                std::to_string(left));
    if (left / 100 != 2) {
        co_return 2;
    }
    co_await sleep_for(served_after_leave);
    leaving.app->stop_beats();
    const int gone = co_await leaving.app->send_sign_off();
    record.line("leave     DELETE, status " + std::to_string(gone) + "; the back end ends");
    leaving.app->end();
    co_await sleep_for(milliseconds(1500));
    seen.stop = true;
    co_await sleep_for(milliseconds(500));

    int late_runs = 0;
    for (const auto& each : leaving.app->runs()) {
        late_runs += each.at_ms > acknowledged_at + drain_ms ? 1 : 0;
    }
    record.line("requests that reached the back end later than DrainMs after the acknowledged "
                "leave: " +
                std::to_string(late_runs) +
                "; of those at work when it ended, lost: " + std::to_string(seen.lost));
    co_return late_runs > 0 ? 1 : 0;
}

} // namespace

int main(int count, char** words) {
    return review::run_case(count, words, scenario, review::milliseconds(60'000));
}
