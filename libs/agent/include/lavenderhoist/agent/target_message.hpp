#pragma once

#include "lavenderhoist/mesh/announcement.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace lavenderhoist::agent {

/** \brief Deregistration of a target that ends. */
struct sign_off {
    std::string id;
    std::optional<std::int64_t>
        born_ms; ///< Birth time of the start that ends, if given; Unix time.
};

/** \brief An invalid message of a target, with the response to it. */
struct rejected_message {
    int status{0}; ///< HTTP status of the response.
    std::string reason;
};

using target_message = std::variant<mesh::announcement, sign_off, rejected_message>;

} // namespace lavenderhoist::agent
