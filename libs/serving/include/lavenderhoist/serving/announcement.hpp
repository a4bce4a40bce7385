#pragma once

#include "lavenderhoist/config/address.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lavenderhoist::node {

/** \brief What a target tells the node beside it, about once a second. */
struct announcement {
    std::string service;
    std::uint64_t generation{0}; ///< Grows when the target restarts.
    config::address where;       ///< Where it takes requests.
    bool draining{false};

    bool operator==(const announcement&) const = default;
};

/** \returns nothing if the body is not an announcement. */
std::optional<announcement> decode_announcement(std::string_view body);

} // namespace lavenderhoist::node
