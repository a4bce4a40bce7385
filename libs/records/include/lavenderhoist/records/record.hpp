#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lavenderhoist::records {

/** \brief What a record is about. */
enum class kind : std::uint8_t {
    configuration, ///< The deployment; one subject, the empty one.
    assignment,    ///< Who may own orders of the service that is the subject.
    contact,       ///< A node to join through; the subject is its id. Not versioned.
};

/** \brief What versions are counted for. */
struct topic {
    kind what{kind::configuration};
    std::string subject;

    auto operator<=>(const topic&) const = default;
};

/** \brief A versioned record on the platform's log. */
struct record {
    std::string id; ///< Chosen by the author; finds the record after a lost confirmation.
    topic about;
    std::int64_t version{0};    ///< One more than that of the record it replaces; the first has 1.
    std::int64_t replaces{-1};  ///< Offset of the record it replaces; -1 for the first.
    std::string author;         ///< Node or operator.
    std::int64_t written_ms{0}; ///< Wall time at the author, for operators to read.
    std::string body;           ///< JSON.

    bool operator==(const record&) const = default;
};

/** \brief A record and its place in the log. */
struct located_record {
    std::int64_t offset{-1};
    record content;

    bool operator==(const located_record&) const = default;
};

std::string_view to_string(kind what) noexcept;

std::string encode(const record& content);

/** \returns nothing if the payload is not a record; foreign payloads on the log are skipped. */
std::optional<record> decode(std::string_view payload);

} // namespace lavenderhoist::records
