#pragma once

#include "lavenderhoist/core/clock.hpp"
#include "lavenderhoist/core/error.hpp"
#include "lavenderhoist/net/message.hpp"
#include "lavenderhoist/relay/load_report.hpp"

#include <optional>

namespace lavenderhoist::relay {

/** \brief What is known of the execution of a request by one target. */
enum class execution : std::uint8_t {
    answered, ///< The target has answered.
    not_run,  ///< It has not run on the target and will not.
    unknown,  ///< It may have run, or may still run.
};

std::string_view to_string(execution value) noexcept;

/** \brief Result of one attempt: a request sent to one target. */
struct relay_answer {
    execution result{execution::unknown};
    net::response message;      ///< If answered.
    error failure;              ///< If not.
    duration retry_after{0};    ///< If not run: when a retry may succeed; 0 if not known.
    bool reached_target{false}; ///< Bytes of the request were sent to the target.
    std::optional<load_report> load;
};

relay_answer make_failure(execution result, errc cause, step where, std::string peer);

} // namespace lavenderhoist::relay
