#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace lavenderhoist::agent {

/** \brief The record topics that a node works with. */
enum class topic : std::uint8_t {
    configuration, ///< Written by operators.
    hosts,         ///< Written by nodes, one key a host.
};

/** \brief A record of a topic that keeps the newest record of each key. */
struct store_record {
    std::string key;
    std::string value; ///< Empty: the key has been dropped.
    std::int64_t offset{0};
};

/** \brief Records, and where to read on. */
struct record_batch {
    std::vector<store_record> records;
    std::int64_t next_offset{0};
    bool has_more{false}; ///< Of a list of newest records: continue after the last key.
};

/** \brief The records wanted have expired; list the newest ones instead. */
struct records_expired {};

/** \brief The store has taken a record. */
struct record_appended {
    std::int64_t offset{0};
};

/** \brief The store gave no usable answer. */
struct store_failure {
    std::string reason;
    bool may_have_executed{false}; ///< The call may have been executed, or may still be.
};

using read_result = std::variant<record_batch, records_expired, store_failure>;
using append_result = std::variant<record_appended, store_failure>;

} // namespace lavenderhoist::agent
