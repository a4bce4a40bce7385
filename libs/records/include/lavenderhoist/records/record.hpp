#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lavenderhoist::records {

/** \brief Type of a record. */
enum class record_type : std::uint8_t {
    configuration, ///< Configuration of the deployment; its only subject is empty.
    assignment,    ///< Owners of the orders of a service; the subject is the service.
    contact,       ///< A node to join through; the subject is its id. Not versioned.
};

/** \brief A sequence of versions: a type of record and its subject. */
struct record_topic {
    record_type type{record_type::configuration};
    std::string subject;

    auto operator<=>(const record_topic&) const = default;
};

/** \brief A versioned record on the platform's log. */
struct record {
    std::string id; ///< Chosen by the author, to find the record after a lost confirmation.
    record_topic topic;
    std::int64_t version{0};    ///< One more than that of the record it replaces; the first has 1.
    std::int64_t replaces{-1};  ///< Offset of the record it replaces; -1 for the first.
    std::string author;         ///< Node or operator.
    std::int64_t written_ms{0}; ///< Wall time at the author, for information only.
    std::string body;           ///< JSON.

    bool operator==(const record&) const = default;
};

/** \brief A record and its offset in the log. */
struct located_record {
    std::int64_t offset{-1};
    record content;

    bool operator==(const located_record&) const = default;
};

std::string_view to_string(record_type type) noexcept;

std::string encode(const record& content);

/** \returns nothing if the payload is not a record; readers skip such payloads of the log. */
std::optional<record> decode(std::string_view payload);

} // namespace lavenderhoist::records
