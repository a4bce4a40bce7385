#pragma once

#include "lavenderhoist/core/clock.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lavenderhoist::orders {

/** \brief One process of a node that can own keys. A restarted node is another owner. */
struct owner {
    std::string id;
    std::uint64_t process{0};

    auto operator<=>(const owner&) const = default;
};

/** \brief The owners of the orders of a service in one epoch. */
struct assignment {
    std::int64_t epoch{0};      ///< Version of the record.
    std::vector<owner> members; ///< Sorted by id.
    /** New owners run moved keys only after this time since they have read the record. */
    milliseconds takeover_delay{0};

    bool operator==(const assignment&) const = default;

    bool contains(const owner& candidate) const noexcept;

    /** \brief The owner of a key by rendezvous hashing, or null if there are no members. */
    const owner* owner_of(std::uint64_t key_hash) const noexcept;
};

/** \brief The body of the record; the epoch is the record's version and not part of it. */
std::string encode_body(const assignment& value);

/** \returns nothing if the body is not an assignment. */
std::optional<assignment> decode_body(std::string_view body, std::int64_t epoch);

} // namespace lavenderhoist::orders
