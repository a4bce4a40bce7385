#pragma once

#include "lavenderhoist/mesh/announcement.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace lavenderhoist::agent {

/** \brief A target signs off. */
struct sign_off {
    std::string id;
    std::optional<std::int64_t> born_ms; ///< Of the start that signs off, if it says so.
};

/** \brief A message of a target that can't be taken. */
struct rejected_message {
    int status{0};
    std::string reason;
};

using target_message = std::variant<mesh::announcement, sign_off, rejected_message>;

} // namespace lavenderhoist::agent
