#pragma once

#include "lavenderhoist/core/clock.hpp"

#include <boost/json/fwd.hpp>

#include <cstdint>
#include <memory>

namespace lavenderhoist::metrics {

/** \brief A histogram of latencies with logarithmic bins from 0.05 ms to 60 s (Boost.Histogram). */
class latency_histogram {
public:
    latency_histogram();
    latency_histogram(const latency_histogram& other);
    latency_histogram(latency_histogram&&) noexcept;
    latency_histogram& operator=(const latency_histogram& other);
    latency_histogram& operator=(latency_histogram&&) noexcept;
    ~latency_histogram();

    void add(duration latency);

    /** \brief Adds the counts of another histogram. */
    void merge(const latency_histogram& other);

    std::uint64_t count() const;

    /** \brief Upper edge, in ms, of the bin that holds the quantile `share` (0 to 1); 0 if empty.
     */
    double quantile_ms(double share) const;

    /** \brief Count, quantiles and the bins that are not empty. */
    boost::json::object to_json() const;

private:
    struct implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace lavenderhoist::metrics
