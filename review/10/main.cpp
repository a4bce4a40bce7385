// A planned stop of a machine. Callers with small windows have sent an upload and, before they have
// read its answer, a further idempotent request on the same connection.
#include "../tools-2/stand_in.hpp"

using namespace review;

namespace {

constexpr const char* host_name = "hulo84.example";
constexpr int deadline_ms = 2'500;
constexpr int work_ms = 400; // of an upload; the sheet has a mean of 120, 1,300 at most
constexpr std::size_t upload_bytes = 60'000; // the mean of the sheet
constexpr std::size_t answer_bytes = 36'000; // the largest answer of the sheet
constexpr int receive_buffer = 4'096;        // links have small windows
constexpr int stop_after_ms = 200;           // of the work
constexpr int further_after_ms = 700;        // the answer has begun by then, and is not read yet
constexpr int read_after_ms = 50;
constexpr int callers = 8;
constexpr int grace_ms = 6'000; // GraceS

} // namespace

int main(int /*argc*/, char** argv) {
    record out(argv[1]);
    deployment world(out);
    world.add({"logharbour", "whk-north", 160}, grace_ms);
    world.add({"logharbour", "whk-south", 160}, grace_ms);
    world.add({"balancedesk", "whk-east", 160}, grace_ms);
    world.publish(make_configuration(
        7, host_name,
        {{"/leny950/", "balancedesk", true, 5'000},
         {"/puka111/", "logharbour", false, deadline_ms, 600, false, "upload"}}));
    if (!world.wait_ready({"/leny950/2f", "/puka111/2f"}, host_name)) {
        world.finish(not_run);
    }
    for (std::size_t i = 0; i < world.size(); ++i) {
        world.at(i).target->choose = [](const message& request) {
            return request.method() == "POST" ? backend::reply{work_ms, answer_bytes}
                                              : backend::reply{};
        };
    }
    sleep_ms(3'500); // StabilityMs: no unplanned disruption

    const auto runs_of = [&](const std::string& id) {
        int runs = 0;
        for (std::size_t i = 0; i < world.size(); ++i) {
            runs += world.at(i).target->runs(id);
        }
        return runs;
    };
    auto& stopped = world.at(0);
    std::atomic<int> cut{0};
    std::atomic<int> whole{0};
    std::vector<std::thread> all;
    for (int i = 0; i < callers; ++i) {
        all.emplace_back([&, i] {
            caller one(stopped.callers, receive_buffer);
            const auto upload = world.make_id();
            const auto further = world.make_id();
            if (!one.connect()) {
                return;
            }
            out.line("caller %d: POST %s, an upload of %zu bytes", i, upload.c_str(), upload_bytes);
            one.send(render_request("POST", "/puka111/2f", host_name, upload, deadline_ms,
                                    std::string(upload_bytes, 'u')));
            sleep_ms(further_after_ms);
            out.line("caller %d: GET %s behind it", i, further.c_str());
            one.send(render_request("GET", "/leny950/2f", host_name, further, deadline_ms, ""));
            sleep_ms(read_after_ms);
            const auto seen = one.read(deadline_ms - further_after_ms - read_after_ms);
            const int runs = runs_of(upload);
            out.line(
                "caller %d: upload %s: %s, status %d, %zu of %zu bytes, errno %d; back ends that "
                "ran it: %d",
                i, upload.c_str(), seen.how(), seen.status, seen.body_bytes, answer_bytes,
                seen.error, runs);
            whole += seen.is_answered() ? 1 : 0;
            const bool is_cut =
                seen.reading == read_result::end_before || seen.reading == read_result::end_within;
            cut += is_cut && runs > 0 ? 1 : 0;
            if (seen.is_answered() && one.fd() >= 0) {
                const auto next = one.read(deadline_ms);
                out.line("caller %d: GET %s: %s, status %d", i, further.c_str(), next.how(),
                         next.status);
            }
        });
    }
    sleep_ms(stop_after_ms);
    if (has_trouble()) {
        stopped.process->signal(SIGTERM);
    }
    for (auto& each : all) {
        each.join();
    }
    if (has_trouble()) {
        stopped.process->wait_end(grace_ms);
        stopped.process->start();
    }
    out.line("uploads answered: %d; run by a back end and cut within their answer or before it: %d "
             "(allowed: 0)",
             whole.load(), cut.load());
    std::printf("uploads answered: %d, cut: %d of 0 allowed\n", whole.load(), cut.load());
    if (whole + cut == 0) {
        world.finish(not_run);
    }
    world.finish(cut > 0 ? rule_broken : rule_held);
}
