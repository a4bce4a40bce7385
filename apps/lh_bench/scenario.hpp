#pragma once

#include "bench.hpp"

#include <array>
#include <map>
#include <string>
#include <vector>

namespace lavenderhoist::bench {

inline constexpr std::array<unsigned, 1> reads{0};
inline constexpr std::array<unsigned, 1> orders{1};
inline constexpr std::array<unsigned, 2> both{0, 1};
inline constexpr double order_share = 0.3;

/** \brief Requests a second that the two targets of single_service() complete. */
inline constexpr double single_capacity = 500;

/** \brief Requests a second that the last service of chain() completes: 2 targets, 10 slots, 80 ms.
 */
inline constexpr double chain_capacity = 250;

/** \brief One service with two targets. */
harness::deployment_spec single_service(bool policy);

/** \brief A chain a -> b -> c -> d; a also serves requests without calls, e is independent. */
harness::deployment_spec chain(bool policy);

/** \brief Starts a deployment and waits until orders can run. \returns false if it did not start.
 */
bool start(harness::deployment& where, bool policy);

/** \brief Formats a summary on one line. */
std::string describe(const load::summary& seen);

/** \brief Fraction of the sent requests that were good. */
double good_fraction(const load::summary& seen);

/** \brief Executions per key over all targets of a service. */
std::map<std::string, int> runs_by_key(const harness::deployment& where,
                                       const std::vector<harness::host*>& hosts);

int max_runs(const std::map<std::string, int>& runs);

/** \brief Number of orders that ran although their answer stated that they had not. */
int false_refusals(const std::vector<load::sample>& samples,
                   const std::map<std::string, int>& runs);

/** \brief Total executions on the given hosts, of all requests. */
std::size_t executions(const harness::deployment& where, const std::vector<harness::host*>& hosts);

/** \brief Time from `from` until goodput reaches `level` and stays there for three windows. */
double settling_seconds(const std::vector<double>& windows, duration window, duration from,
                        double level);

/** \brief Checks that no order ran twice and that no refused order ran. */
void report_executions(const harness::deployment& where, const std::vector<harness::host*>& hosts,
                       const std::vector<load::sample>& samples);

// Fault scenarios, defined in overload_faults.cpp.
enum class target_fault { dies, hangs, sheds };
void measure_target_fault(const settings& run_settings, std::uint64_t seed, bool policy,
                          target_fault fault);
void measure_poison(const settings& run_settings, bool policy);
void measure_two_triggers(const settings& run_settings, std::uint64_t seed);

} // namespace lavenderhoist::bench
