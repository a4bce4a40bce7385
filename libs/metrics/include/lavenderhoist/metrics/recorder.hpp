#pragma once

#include "lavenderhoist/core/clock.hpp"
#include "lavenderhoist/core/outcome.hpp"
#include "lavenderhoist/metrics/latency_histogram.hpp"

#include <boost/json/fwd.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace lavenderhoist::metrics {

/**
 * \brief Counters, and latency histograms per class and per caller.
 *
 * One recorder a thread, without locks; readers merge copies. The number of callers with a
 * histogram of their own is bounded; the rest share one.
 */
class recorder {
public:
    /** \brief Callers beyond this number are recorded together as `other`. */
    static constexpr std::size_t max_callers = 256;

    void count(std::string_view name, std::uint64_t amount = 1);

    /** \brief Records the end of a caller's request. */
    void observe(std::string_view class_name, std::string_view caller, outcome result,
                 duration latency);

    void merge(const recorder& other);

    std::uint64_t counter(std::string_view name) const;

    boost::json::object to_json() const;

private:
    /** What is kept for one class or one caller. */
    struct series {
        std::map<std::string, std::uint64_t, std::less<>> outcomes;
        latency_histogram completed;
    };
    using series_map = std::map<std::string, series, std::less<>>;

    static void observe_in(series_map& all, std::string_view name, outcome result,
                           duration latency);
    static void merge_into(series_map& all, const series_map& others);
    static boost::json::object series_to_json(const series_map& all);

    std::map<std::string, std::uint64_t, std::less<>> counters_;
    series_map classes_;
    series_map callers_;
};

} // namespace lavenderhoist::metrics
