#pragma once

#include "lavenderhoist/harness.hpp"
#include "lavenderhoist/load.hpp"

#include <boost/json.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace lavenderhoist::bench {

/** \brief Parameters of a measurement. */
struct settings {
    std::string binaries; ///< Folder with the programs.
    std::string examples; ///< Folder with the example configurations.
    std::vector<std::uint64_t> seeds{1};
    bool policy_on_only{false}; ///< Excludes the runs with the policy off.
    std::string only;           ///< Name of one scenario; empty: all.
};

/** \brief A stated bound and the value measured against it. */
struct check {
    std::string what;
    std::string bound;
    double measured{0};
    bool is_met{false};
};

/** \brief Prints a line of text on standard output. */
void print_line(const std::string& text);

/** \brief Prints a check; counts it for the exit code if it is not met. */
void report(const check& result);

/** \brief Number of checks that were not met so far. */
int checks_not_met();

/** \brief Formats a number with a fixed number of decimals. */
std::string format_number(double value, int decimals = 1);

/** \brief Runs a load plan on a separate thread, and `meanwhile` on the calling thread. */
std::vector<load::sample> run_load(const load::plan& what,
                                   const std::function<void()>& meanwhile = {});

/** \brief Waits until `since_start` has elapsed since `start`. */
void wait_until_run_time(time_point start, duration since_start);

/** \brief A stream with a timeout of 2 s (orders: POST, with keys) or 1 s (reads).
 */
load::stream make_stream(const std::string& name, const std::string& method,
                         const std::string& path, double rate);

/** \brief A class list shared by the scenarios: reads and orders. */
std::string classes_json(int read_credits = 1, int order_credits = 2);

int measure_overhead(const settings& run_settings);
int measure_overload(const settings& run_settings);
int measure_state(const settings& run_settings);
int measure_slopes(const settings& run_settings);
int run_demo(const settings& run_settings);

} // namespace lavenderhoist::bench
