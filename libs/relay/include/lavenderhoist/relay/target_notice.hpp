#pragma once

#include "lavenderhoist/net/headers.hpp"

#include <optional>

namespace lavenderhoist::relay {

struct wire_names;

/** \brief What a target says about itself in the header of an answer. */
struct target_notice {
    /** Requests per second that it accepts from all nodes together; nothing if it names no limit.
     */
    std::optional<double> rate_limit;
    bool is_leaving{false};         ///< It is about to stop.
    bool has_malformed_rate{false}; ///< It names a limit that is not a non-negative number.

    bool operator==(const target_notice&) const = default;
};

/** \brief Reads the notice in the header of a target's answer. */
target_notice read_notice(const net::headers& fields, const wire_names& names);

} // namespace lavenderhoist::relay
