#include "bench.hpp"

#include <iomanip>
#include <iostream>
#include <sstream>
#include <thread>

namespace lavenderhoist::bench {
namespace {

int not_met = 0;

} // namespace

void print_line(const std::string& text) {
    std::cout << text << std::endl;
}

std::string format_number(double value, int decimals) {
    std::ostringstream text;
    text << std::fixed << std::setprecision(decimals) << value;
    return text.str();
}

void report(const check& result) {
    not_met += result.is_met ? 0 : 1;
    std::cout << (result.is_met ? "  met      " : "  NOT MET  ") << result.what << ": "
              << format_number(result.measured, 3) << " (bound " << result.bound << ")"
              << std::endl;
}

int checks_not_met() {
    return not_met;
}

std::vector<load::sample> run_load(const load::plan& what, const std::function<void()>& meanwhile) {
    load::generator generator(what);
    std::thread sender([&generator] { generator.run(); });
    if (meanwhile) {
        meanwhile();
    }
    sender.join();
    return generator.samples();
}

void wait_until_run_time(time_point start, duration since_start) {
    harness::pause_for(std::max(duration(0), start + since_start - runtime_clock::now()));
}

load::stream make_stream(const std::string& name, const std::string& method,
                         const std::string& path, double rate) {
    load::stream made;
    made.name = name;
    made.method = method;
    made.path = path;
    made.caller = "bench";
    made.rate = rate;
    made.has_key = method == "POST";
    made.timeout = method == "POST" ? std::chrono::seconds(2) : std::chrono::seconds(1);
    return made;
}

std::string classes_json(int read_credits, int order_credits) {
    return R"([{"name": "read", "rank": 1, "deadline_ms": 1000, "retry_credits": )" +
           std::to_string(read_credits) +
           R"(}, {"name": "order", "rank": 5, "deadline_ms": 2000, "must_not_repeat": true, "retry_credits": )" +
           std::to_string(order_credits) + "}]";
}

} // namespace lavenderhoist::bench
