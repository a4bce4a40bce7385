#pragma once

#include "lavenderhoist/core/error.hpp"

#include <boost/json/array.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace lavenderhoist::relay {

/**
 * \brief Sums up, by route, how requests end at an entry, for one log line a second.
 *
 * Lines about single requests are a bounded sample; these sums are whole.
 */
class outcome_log {
public:
    void on_answered(const std::string& route, bool has_failed);
    void on_given_up(const std::string& route, errc cause, bool has_not_run);

    /** \brief The sums since the last call, an object a route; empty if nothing ended. */
    boost::json::array take();

private:
    struct sums {
        std::uint64_t answered{0};
        std::uint64_t failed{0}; ///< Answers of a target that report a failure of its own.
        std::uint64_t unknown{0};
        std::map<errc, std::uint64_t> not_run; ///< By cause.
    };

    std::map<std::string, sums> routes_;
};

} // namespace lavenderhoist::relay
