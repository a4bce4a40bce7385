// A departure that was acknowledged without the store is forgotten with the process.

#include "../common/standin.h"

namespace {

using namespace review;

constexpr std::int64_t drain_ms = 2000;     // DrainMs
constexpr std::int64_t stability_ms = 3000; // StabilityMs
constexpr milliseconds store_down{4500};    // the site's platform_down
constexpr milliseconds beat_delay{2800};    // "A heartbeat may arrive seconds late."
constexpr milliseconds served_after_leave{11'000};

struct observed {
    bool stop{false};
    std::set<std::string> sent_in_touch; ///< Sent while all machines were in touch.
    int lost{0};
};

awaitable<void> keep_asking(asio::io_context& context, deployment& world, const machine& which,
                            recorder& record, observed& seen, const bool& in_touch) {
    client caller(context, world.callers(which), &record);
    while (!seen.stop) {
        auto message = make_request(http::verb::post, world.host, "/pass/a", world.new_id());
        message.body() = std::string(1200, 'x');
        const std::string id(message["X-Request-Id"]);
        const bool counts = in_touch;
        if (counts) {
            seen.sent_in_touch.insert(id);
        }
        const auto result = co_await caller.exchange(std::move(message), milliseconds(5000));
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
    world.add("vl-a", "passtyr", milliseconds(120));
    world.add("vl-a", "passtyr", milliseconds(120));
    world.add("vl-b", "statusvakt", milliseconds(90));
    world.publish({{"pass", "/pass/", "passtyr", false, 5000},
                   {"status", "/status/", "statusvakt", true, 5000}});
    for (const auto& each : world.machines) {
        world.start(*each);
        each->app->start_beats();
    }
    if (!co_await world.settle("/pass/settle", milliseconds(20'000))) {
        record.line("the deployment did not become ready");
        co_return 2;
    }
    co_await sleep_for(milliseconds(stability_ms));
    observed seen;
    bool in_touch = false;
    auto& leaving = *world.machines[0];
    auto& entry = *world.machines[2];
    for (int i = 0; i < 4; ++i) {
        asio::co_spawn(context, keep_asking(context, world, entry, record, seen, in_touch),
                       asio::detached);
    }

    if (trouble) {
        record.line("store     down for " + std::to_string(store_down.count()) + " ms");
        world.platform_store->state = store::mode::silent;
    }
    const auto store_back = steady::now() + store_down;
    co_await sleep_for(milliseconds(200));

    // The back end's last heartbeat is on its way for seconds; then it leaves, with DELETE at once.
    leaving.app->stop_beats();
    const auto late_beat = leaving.app->beat_body("ready", leaving.app->next_sequence());
    asio::co_spawn(
        context,
        [&]() -> awaitable<void> {
            co_await sleep_for(beat_delay);
            const int status = co_await leaving.app->call_control(http::verb::put, late_beat);
            record.line("beat      late one arrives, status " + std::to_string(status));
        },
        asio::detached);
    co_await sleep_for(milliseconds(50));
    const int left = co_await leaving.app->send_sign_off();
    const auto acknowledged_at = record.now_ms();
    record.line("leave     DELETE of " + leaving.name + "'s back end, status " +
                std::to_string(left));
    if (left / 100 != 2) {
        co_return 2;
    }
    leaving.app->state = "draining"; // its health check says so from now on
    const auto ends_at = steady::now() + served_after_leave;
    if (trouble) {
        record.line("kill      SIGKILL of " + leaving.name);
        leaving.node->kill_and_wait();
        co_await sleep_for(milliseconds(300));
        world.start(leaving);
    }
    asio::steady_timer until_store(context, store_back);
    co_await until_store.async_wait(nothrow);
    world.platform_store->state = store::mode::up;
    record.line("store     up");
    co_await sleep_for(milliseconds(stability_ms + 200));
    in_touch = true;
    record.line("now       all machines are in touch");
    asio::steady_timer until_end(context, ends_at);
    co_await until_end.async_wait(nothrow);
    record.line("leave     the back end of " + leaving.name + " ends");
    leaving.app->end();
    co_await sleep_for(milliseconds(1500));
    in_touch = false;
    seen.stop = true;
    co_await sleep_for(milliseconds(500));

    int late_runs = 0;
    for (const auto& each : leaving.app->runs()) {
        const bool is_late =
            each.at_ms > acknowledged_at + drain_ms && seen.sent_in_touch.contains(each.id);
        late_runs += is_late ? 1 : 0;
    }
    record.line("requests that reached the back end later than DrainMs after the acknowledged "
                "leave, sent by machines in touch: " +
                std::to_string(late_runs) +
                "; of those at work when it ended, lost: " + std::to_string(seen.lost));
    co_return late_runs > 0 ? 1 : 0;
}

} // namespace

int main(int count, char** words) {
    return review::run_case(count, words, scenario, review::milliseconds(60'000));
}
