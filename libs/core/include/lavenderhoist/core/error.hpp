#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <system_error>

namespace lavenderhoist {

/** \brief Causes of failure that lavenderhoist itself reports. */
enum class errc : std::uint8_t {
    ok,
    bad_request,
    unknown_service,
    unknown_route,
    bad_key,
    key_reused,
    deadline_passed,
    overloaded,
    queue_full,
    refused_early,
    callee_limit,
    caller_limit,
    no_target,
    quarantined,
    draining,
    not_owner,
    no_lease,
    key_too_old,
    key_from_future,
    peer_lost,
    target_lost,
    target_shed,
    bad_answer,
    cancelled,
    no_configuration,
    too_large,
    unauthorised,
    log_unavailable,
    conflict,
};

/** \brief The step in the processing of a request at which an error occurred. */
enum class step : std::uint8_t {
    entry,
    route,
    connect,
    stream,
    admission,
    owner,
    target,
    log,
    control
};

std::string_view to_string(errc code) noexcept;
std::string_view to_string(step where) noexcept;

/** \brief Parses the name of a cause. \returns errc::ok if the name is not known. */
errc parse_errc(std::string_view name) noexcept;

/** \brief Parses the name of a step. \returns step::entry if the name is not known. */
step parse_step(std::string_view name) noexcept;

/** \brief The category of errc, for use with std::error_code. */
const std::error_category& category() noexcept;

std::error_code make_error_code(errc code) noexcept;

/** \brief A failure, with the step and the peer at which it occurred. */
struct error {
    std::error_code code; ///< Cause; success if default-constructed.
    step where{step::entry};
    std::string peer; ///< Identifier or address of the remote side.

    explicit operator bool() const noexcept { return static_cast<bool>(code); }
};

/** \brief Renders an error for a log line or an operator: `step peer: message`. */
std::string describe(const error& failure);

} // namespace lavenderhoist

template <>
struct std::is_error_code_enum<lavenderhoist::errc> : std::true_type {};
