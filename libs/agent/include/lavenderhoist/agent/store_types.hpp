#pragma once

#include "lavenderhoist/mesh/record_position.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace lavenderhoist::agent {

/** \brief The record topics that a node reads or writes. */
enum class topic : std::uint8_t {
    configuration, ///< Written by operators.
    hosts,         ///< Written by nodes, one key per host.
};

/** \brief A record of a compacted topic: one that keeps the newest record of each key. */
struct store_record {
    std::string key;
    std::string value; ///< Empty: a tombstone, the key has been removed.
    mesh::record_position position;
};

/** \brief Records, and the offset at which the next read begins. */
struct record_batch {
    std::vector<store_record> records;
    std::int64_t era{0}; ///< Rises each time the store is restored from a copy.
    std::int64_t next_offset{0};
    bool has_more{false};     ///< Only of list_newest: more pages follow after `last_key`.
    std::string last_key;     ///< Only of list_newest: of the last entry with a key, sound or not.
    int malformed_records{0}; ///< Left out of `records`.
};

/** \brief The records at the requested offset have expired, or the store has been restored from an
 * older copy; the newest records must be listed instead. */
struct records_expired {};

/** \brief The store has confirmed an append. */
struct record_appended {
    mesh::record_position position;
};

/** \brief A store call without a usable response. */
struct store_failure {
    std::string reason;
    bool may_have_executed{false}; ///< It may have run, or may run later.
};

using read_result = std::variant<record_batch, records_expired, store_failure>;
using append_result = std::variant<record_appended, store_failure>;

} // namespace lavenderhoist::agent
