#pragma once

#include "lavenderhoist/config/address.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lavenderhoist::node {

/** \brief What a target sends to the node on its host, about once a second. */
struct announcement {
    std::string service;
    std::uint64_t generation{0}; ///< Increases when the target restarts.
    config::address where;       ///< Address at which the target accepts requests.
    bool draining{false};

    bool operator==(const announcement&) const = default;
};

/** \returns nothing if the body is not valid JSON or a member is missing or malformed. */
std::optional<announcement> decode_announcement(std::string_view body);

} // namespace lavenderhoist::node
