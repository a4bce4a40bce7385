#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace lavenderhoist {

/** \brief What an answer claims about the execution of its request. */
enum class outcome : std::uint8_t {
    completed, ///< The whole answer follows.
    not_run,   ///< Not run by any attempt with its key, and no copy remains that could run.
    refused,   ///< This attempt did not run; nothing is claimed about earlier attempts.
    unknown,   ///< It may have run.
};

/** \brief The name carried in the `lh-outcome` header. */
std::string_view to_string(outcome value) noexcept;

/** \brief Parses the name in an `lh-outcome` header. \returns nothing if the name is not known. */
std::optional<outcome> parse_outcome(std::string_view name) noexcept;

} // namespace lavenderhoist
