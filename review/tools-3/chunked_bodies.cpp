// Many chunked bodies of legal size at once, each of which stops just short of its end: the process
// must stay within the memory of its machine.

#include "crowd.hpp"

using namespace review;

namespace {

constexpr std::size_t clients = 10;
constexpr int work_ms = 800;
constexpr std::size_t crowd_connections = 1000;
constexpr std::size_t chunks = 9;
constexpr std::size_t chunk_bytes = 30'000;

int run(deployment& system, record& log) {
    if (!system.start_store()) {
        return exit_not_run;
    }
    system.configure({{"/leny950/", "papan-celah", "idempotent", 6000},
                      {"/saran/", "rambu-rute", "idempotent", 6000}});
    auto& first = system.add("papan-celah");
    system.add("papan-celah");
    system.add("rambu-rute");
    system.watch();
    crowd others(first, crowd_connections, chunks, chunk_bytes);
    if (!others.reserve_descriptors() || !system.wait_until_ready()) {
        return exit_not_run;
    }
    sleep_ms(site::stability_ms + 1000);
    kept_clients ordinary(log, first, "/saran/x?work=" + std::to_string(work_ms), clients);
    sleep_ms(site::stability_ms + 500);
    if (has_trouble()) {
        others.open(0);
        others.send();
        log.line(std::to_string(others.size()) + " clients have sent a body of " +
                 std::to_string(others.body_bytes()) + " bytes in chunks of " +
                 std::to_string(chunk_bytes) + ", all but its last byte, to " + first.name);
    }
    sleep_ms(4000);
    others.close();
    ordinary.stop();
    const int lost = count_lost(system, ordinary, log);
    log.line("answered " + std::to_string(ordinary.answered()) + ", requests lost " +
             std::to_string(lost) + ", most memory seen " +
             std::to_string(system.peak_memory_mb()) + " MB of " + std::to_string(site::memory_mb) +
             " MB, processes that exceeded it " + std::to_string(first.ends.load()));
    if (ordinary.answered() == 0) {
        return exit_not_run;
    }
    return lost > max_lost ? exit_broken : exit_held;
}

} // namespace

int main(int argc, char** argv) {
    return run_case(argc, argv, run);
}
