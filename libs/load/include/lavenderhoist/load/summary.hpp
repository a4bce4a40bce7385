#pragma once

#include "lavenderhoist/load/stream.hpp"

#include <map>
#include <span>
#include <string>
#include <vector>

namespace lavenderhoist::load {

/** \brief Outcomes of the requests that were sent in a part of a run. */
struct summary {
    std::size_t sent{0};
    std::size_t good{0};
    std::size_t refused{0};
    std::size_t unknown{0};
    std::size_t lost{0};
    std::size_t wrong{0};
    std::size_t attempts{0}; ///< Retries included.
    double goodput{0};       ///< Good requests a second.
    double p50_ms{0};        ///< Of good requests.
    double p99_ms{0};
    std::map<std::string, std::size_t> reasons; ///< Of requests that were not good.
};

/** \brief Summarises the requests of the streams in `which` that were sent in [from, to). */
summary summarise(std::span<const sample> samples, std::span<const unsigned> which, duration from,
                  duration to);

/** \brief Good requests a second in each window of a run. */
std::vector<double> goodput_over_time(std::span<const sample> samples,
                                      std::span<const unsigned> which, duration window,
                                      duration length);

} // namespace lavenderhoist::load
