#pragma once

#include "lavenderhoist/core/error.hpp"

#include <boost/json/array.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace lavenderhoist::relay {

/**
 * \brief Counts, by route, how requests end at an entry, for one log line a second.
 *
 * Log lines about single requests are a rate-limited sample; these counts are complete.
 */
class outcome_log {
public:
    void on_answered(const std::string& route, bool has_failed);
    void on_unanswered(const std::string& route, errc cause, bool has_not_run);

    /** \brief Returns and resets the counts: one object a route, empty if no request ended. */
    boost::json::array take();

private:
    struct sums {
        std::uint64_t answered{0};
        std::uint64_t failed{0}; ///< Answers of a target with an error status (5xx).
        std::uint64_t unknown{0};
        std::map<errc, std::uint64_t> not_run; ///< By cause.
    };

    std::map<std::string, sums> routes_;
};

} // namespace lavenderhoist::relay
