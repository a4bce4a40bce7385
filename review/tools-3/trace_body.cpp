// A client that the operators do not control sends TRACE with a body of five bytes.

#include "platform.hpp"

using namespace review;

namespace {

constexpr std::size_t clients_per_machine = 10;
constexpr int work_ms = 800;

int run(deployment& system, record& log) {
    if (!system.start_store()) {
        return exit_not_run;
    }
    system.configure({{"/leny950/", "papan-celah", "idempotent", 6000},
                      {"/saran/", "rambu-rute", "idempotent", 6000}});
    auto& first = system.add("papan-celah");
    auto& second = system.add("papan-celah");
    auto& third = system.add("rambu-rute");
    system.add("rambu-rute");
    system.watch();
    if (!system.wait_until_ready()) {
        return exit_not_run;
    }
    sleep_ms(site::stability_ms + 1000);
    // Their requests run at the other service, whose back ends stay sound.
    const auto path = "/saran/x?work=" + std::to_string(work_ms);
    kept_clients at_first(log, first, path, clients_per_machine);
    kept_clients at_second(log, second, path, clients_per_machine);
    sleep_ms(site::stability_ms + 500);
    if (has_trouble()) {
        log.line("a client sends TRACE with a body of 5 bytes to " + third.name);
    } else {
        log.line("a client sends POST with a body of 5 bytes to " + third.name);
    }
    connection other;
    if (!other.open(third.callers)) {
        return exit_not_run;
    }
    other.send(request_head(has_trouble() ? "TRACE" : "POST", "/leny950/2f", "other-1", 6000) +
               "Content-Length: 5\r\n\r\nhello");
    const auto answered = other.receive(7000);
    log.line("that client gets " + (answered ? std::to_string(answered->status()) : other.end()));
    sleep_ms(3000);
    at_first.stop();
    at_second.stop();
    const int lost = count_lost(system, at_first, log) + count_lost(system, at_second, log);
    const int ends = first.ends + second.ends;
    log.line("answered " + std::to_string(at_first.answered() + at_second.answered()) +
             ", requests lost " + std::to_string(lost) + ", processes that ended by themselves " +
             std::to_string(ends));
    if (at_first.answered() == 0 || at_second.answered() == 0) {
        return exit_not_run;
    }
    return lost > max_lost ? exit_broken : exit_held;
}

} // namespace

int main(int argc, char** argv) {
    return run_case(argc, argv, run);
}
