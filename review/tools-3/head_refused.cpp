// Back ends fail part of their requests while their health is good. Clients with kept connections
// send HEAD and GET in turn: what follows the head of an answer to HEAD must be the next answer.

#include "platform.hpp"

#include <array>
#include <random>

using namespace review;

namespace {

constexpr std::size_t clients = 10;
/** The site's largest dose: all back ends of the service turn away 55% of the requests for 8.5 s.
 */
constexpr double shed_share = 0.55;
constexpr int shed_ms = 8500;
constexpr int pause_ms = 50;

/** What the clients have seen. */
struct counts {
    std::atomic<int> heads{0};
    std::atomic<int> refused_heads{0};
    std::atomic<int> gets{0};
    std::atomic<int> foreign{0}; ///< Bytes that are no answer in the protocol.
};

/** Reads the head of an answer. \returns the bytes up to its end, or what came instead. */
std::string read_head(const connection& from, std::string& buffer, int timeout_ms) {
    const auto deadline = steady::now() + milliseconds(timeout_ms);
    constexpr std::string_view protocol = "HTTP/1.";
    while (buffer.find("\r\n\r\n") == std::string::npos) {
        const auto known = std::min(buffer.size(), protocol.size());
        if (buffer.compare(0, known, protocol, 0, known) != 0) {
            break; // no answer begins so
        }
        const auto left = std::chrono::duration_cast<milliseconds>(deadline - steady::now());
        pollfd waiting{from.fd(), POLLIN, 0};
        if (left.count() <= 0 || ::poll(&waiting, 1, static_cast<int>(left.count())) != 1) {
            return {};
        }
        std::array<char, 4096> bytes{};
        const auto count = ::recv(from.fd(), bytes.data(), bytes.size(), 0);
        if (count <= 0) {
            return {};
        }
        buffer.append(bytes.data(), static_cast<std::size_t>(count));
    }
    const auto end = buffer.find("\r\n\r\n");
    const auto size = end == std::string::npos ? buffer.size() : end + 4;
    auto head = buffer.substr(0, size);
    buffer.erase(0, size);
    return head;
}

std::size_t body_length(const std::string& head) {
    const auto at = head.find("Content-Length: ");
    return at == std::string::npos ? 0 : std::strtoull(head.c_str() + at + 16, nullptr, 10);
}

/** One client: each answer is read as the protocol says, and one to HEAD has no body. */
void run_client(record& log, const machine& through, std::size_t number, counts& seen,
                const std::atomic<bool>& stopping) {
    connection to;
    std::string buffer;
    for (int i = 0; !stopping; ++i) {
        if (!to.is_open()) {
            buffer.clear();
            if (!to.open(through.callers)) {
                sleep_ms(100);
                continue;
            }
        }
        const bool is_head = i % 2 == 0;
        const auto id = "c" + std::to_string(number) + "-" + std::to_string(i);
        const std::string method = is_head ? "HEAD" : "GET";
        log.line("client sends " + method + " " + id);
        if (!to.send(request_head(method, "/saran/x", id, 2000) + "\r\n")) {
            to.close();
            continue;
        }
        const auto head = read_head(to, buffer, 3000);
        const auto first_line = head.substr(0, head.find("\r\n"));
        if (head.empty()) {
            log.line("client gets no answer to " + id);
            to.close();
            continue;
        }
        if (!head.starts_with("HTTP/1.")) {
            ++seen.foreign;
            log.line("MIXED: in the place of the answer to " + id +
                     " come bytes that are none: " + first_line.substr(0, 80));
            to.close();
            continue;
        }
        const int status = std::atoi(head.c_str() + 9);
        log.line("client gets " + std::to_string(status) + " to " + id);
        ++(is_head ? seen.heads : seen.gets);
        seen.refused_heads += is_head && status != 200 ? 1 : 0;
        const auto length = is_head ? 0 : body_length(head);
        while (buffer.size() < length) {
            std::array<char, 4096> bytes{};
            const auto count = ::recv(to.fd(), bytes.data(), bytes.size(), 0);
            if (count <= 0) {
                break;
            }
            buffer.append(bytes.data(), static_cast<std::size_t>(count));
        }
        buffer.erase(0, length);
        if (head.find("Connection: close") != std::string::npos) {
            to.close();
        }
        sleep_ms(pause_ms);
    }
}

int run(deployment& system, record& log) {
    if (!system.start_store()) {
        return exit_not_run;
    }
    system.configure({{"/leny950/", "papan-celah", "idempotent", 6000},
                      {"/saran/", "rambu-rute", "idempotent", 2000}});
    auto& first = system.add("papan-celah");
    std::vector<machine*> shedding{&system.add("rambu-rute"), &system.add("rambu-rute"),
                                   &system.add("rambu-rute")};
    system.watch();
    if (!system.wait_until_ready()) {
        return exit_not_run;
    }
    sleep_ms(site::stability_ms + 1000);
    auto& seen = *new counts;
    std::atomic<bool> stopping{false};
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < clients; ++i) {
        threads.emplace_back([&, i] { run_client(log, first, i, seen, stopping); });
    }
    sleep_ms(2000);
    std::mutex random_mutex;
    std::mt19937 random(std::random_device{}());
    if (has_trouble()) {
        log.line("the back ends of rambu-rute turn away 55% of their requests from now on");
    }
    for (auto* const each : shedding) {
        each->app->set_special([&](connection& peer, const message& request) {
            {
                const std::lock_guard lock(random_mutex);
                if (!has_trouble() || std::bernoulli_distribution(shed_share)(random) == false) {
                    return false;
                }
            }
            const auto id = request.field("x-request-id");
            log.line(each->app->id() + " turns " + id + " away, not run");
            peer.send(answer(503, "X-Request-Id: " + id + "\r\nX-Not-Executed: 1\r\n", ""));
            return true;
        });
    }
    sleep_ms(shed_ms);
    for (auto* const each : shedding) {
        each->app->set_special(nullptr);
    }
    log.line("that is over");
    sleep_ms(2000);
    stopping = true;
    for (auto& each : threads) {
        each.join();
    }
    log.line("answers to HEAD " + std::to_string(seen.heads) + ", of them not 200 " +
             std::to_string(seen.refused_heads) + ", answers to GET " + std::to_string(seen.gets) +
             ", bytes that are no answer " + std::to_string(seen.foreign));
    if (seen.heads == 0 || seen.gets == 0) {
        return exit_not_run;
    }
    return seen.foreign > 0 ? exit_broken : exit_held;
}

} // namespace

int main(int argc, char** argv) {
    return run_case(argc, argv, run);
}
