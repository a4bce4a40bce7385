// Callers order on a kept connection, and send a further idempotent request, with a body within
// MaxBodyBytes, before the order has been answered.
#include "../tools-2/stand_in.hpp"

using namespace review;

namespace {

constexpr const char* host_name = "hulo84.example";
constexpr int deadline_ms = 5'000;
constexpr int work_ms = 400; // of an order
constexpr int quick_ms = 20;
constexpr int callers = 8;
constexpr std::size_t body_bytes = 360'000; // the largest body of a request in the site file
constexpr int max_lost = 3;                 // LOST: "more than three times"

} // namespace

int main(int /*argc*/, char** argv) {
    record out(argv[1]);
    deployment world(out);
    world.add({"balancedesk", "whk-north", 160});
    world.add({"creditvault", "whk-south", 160});
    world.publish(make_configuration(
        7, host_name,
        {{"/leny950/", "balancedesk", true, 5'000}, {"/puka111/", "creditvault", false, 5'000}}));
    if (!world.wait_ready({"/leny950/2f", "/puka111/2f"}, host_name)) {
        world.finish(not_run);
    }
    for (std::size_t i = 0; i < world.size(); ++i) {
        world.at(i).target->choose = [](const message& request) {
            return backend::reply{request.method() == "POST" ? work_ms : quick_ms};
        };
    }
    sleep_ms(3'500); // StabilityMs: the machines are in touch

    std::atomic<int> lost{0};
    std::atomic<int> whole{0};
    std::vector<std::thread> all;
    for (int i = 0; i < callers; ++i) {
        all.emplace_back([&, i] {
            caller one(world.at(0).callers);
            const auto order = [&](const std::string& id) {
                return render_request("POST", "/puka111/2f", host_name, id, deadline_ms,
                                      "credit 20 to wallet 4711");
            };
            one.request(order(world.make_id()), deadline_ms); // from now on the connection is kept
            const auto first = world.make_id();
            const auto second = world.make_id();
            const auto further = render_request("PUT", "/leny950/2f", host_name, second,
                                                deadline_ms, std::string(body_bytes, 'p'));
            out.line("caller %d: orders %s on a kept connection", i, first.c_str());
            if (has_trouble()) {
                one.send(order(first));
                sleep_ms(work_ms / 4); // the back end is at work on the order
                out.line("caller %d: sends PUT %s with a body of %zu bytes behind it", i,
                         second.c_str(), body_bytes);
                one.send(further);
            } else {
                one.send(order(first));
            }
            const auto seen = one.read(deadline_ms);
            const int runs = world.at(0).target->runs(first) + world.at(1).target->runs(first);
            out.line("caller %d: order %s: %s, status %d, errno %d; back ends that ran it: %d", i,
                     first.c_str(), seen.how(), seen.status, seen.error, runs);
            if (!seen.is_answered()) {
                lost += runs > 0 ? 1 : 0;
                return;
            }
            if (!has_trouble()) {
                one.send(further);
            }
            const auto next = one.read(deadline_ms);
            out.line("caller %d: PUT %s: %s, status %d", i, second.c_str(), next.how(),
                     next.status);
            whole += next.is_answered() ? 1 : 0;
        });
    }
    for (auto& each : all) {
        each.join();
    }
    out.line("both requests answered: %d; orders passed on from a kept connection that closed "
             "without an "
             "answer: %d (allowed: %d)",
             whole.load(), lost.load(), max_lost);
    std::printf("both answered: %d, lost: %d of %d allowed\n", whole.load(), lost.load(), max_lost);
    world.finish(lost > max_lost ? rule_broken : rule_held);
}
