#pragma once

#include "lavenderhoist/harness.hpp"
#include "lavenderhoist/load.hpp"

#include <boost/json.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace lavenderhoist::bench {

/** \brief What a measurement is run with. */
struct settings {
    std::string binaries; ///< Folder with the programs.
    std::string examples; ///< Folder with the example configurations.
    std::vector<std::uint64_t> seeds{1};
    bool policy_on_only{false}; ///< Leaves out the runs with the policy off.
    std::string only;           ///< Name of one scenario; empty: all.
};

/** \brief One stated bound and what was measured against it. */
struct check {
    std::string what;
    std::string bound;
    double measured{0};
    bool is_met{false};
};

/** \brief Prints a line for a person. */
void say(const std::string& text);

/** \brief Prints a check; counts those not met for the exit code. */
void report(const check& result);

/** \brief How many checks were not met so far. */
int checks_not_met();

/** \brief A number with a fixed count of decimals. */
std::string shown(double value, int decimals = 1);

/** \brief Sends a plan from a thread of its own, while `meanwhile` runs here. */
std::vector<load::sample> run_load(const load::plan& what,
                                   const std::function<void()>& meanwhile = {});

/** \brief Waits until `since_start` of the run that began at `start`. */
void wait_until_run_time(time_point start, duration since_start);

/** \brief A stream whose caller gives up after 2 s (orders, by POST and with keys) or 1 s (reads).
 */
load::stream make_stream(const std::string& name, const std::string& method,
                         const std::string& path, double rate);

/** \brief A class list shared by the scenarios: reads and orders. */
std::string classes_json(int read_credits = 1, int order_credits = 2);

int measure_overhead(const settings& with);
int measure_overload(const settings& with);
int measure_state(const settings& with);
int measure_slopes(const settings& with);
int run_demo(const settings& with);

} // namespace lavenderhoist::bench
