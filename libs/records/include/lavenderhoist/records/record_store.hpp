#pragma once

#include "lavenderhoist/records/record.hpp"

#include <map>
#include <vector>

namespace lavenderhoist::records {

/** \brief Result of applying a record. */
enum class verdict : std::uint8_t {
    accepted,  ///< It has become the current record of its topic.
    rejected,  ///< Another record with the same or a higher version is current, or it replaces
               ///< another record than the current one.
    duplicate, ///< It is the current record already.
};

/**
 * \brief The current record of each topic, determined from the log alone, equally by all readers.
 *
 * A record is valid if it replaces the current one and has the next version. A reader that
 * starts in the middle of the log uses the highest version that it reads, and of that version the
 * record with the lowest offset: the current record is always retained (it is re-appended before it
 * expires), and no author writes a version without having read the one before it. The version of a
 * topic never decreases.
 */
class record_store {
public:
    /** \brief Applies a record read from the log, in the order of offsets. */
    verdict apply(const located_record& read);

    /** \brief Applies the current record of a peer, which has determined it by the same rules. */
    verdict adopt(const located_record& current);

    /** \brief The reader has read up to the tail: from now on only successors are valid. */
    void on_caught_up() noexcept { caught_up_ = true; }

    /** \brief The log has removed records that this reader has not read. */
    void on_gap() noexcept { caught_up_ = false; }

    bool is_caught_up() const noexcept { return caught_up_; }

    /** \brief The current record of a topic, or null. */
    const located_record* current(const record_topic& topic) const noexcept;

    /** \brief A digest of topics and versions: equal stores have equal digests. */
    std::uint64_t digest() const noexcept;

    /** \brief All current records. */
    std::vector<located_record> all() const;

    /** \brief A new record with the version and the `replaces` offset of the current record's
     * successor. */
    record successor(const record_topic& topic) const;

private:
    bool is_successor(const located_record& next, const located_record& before) const noexcept;

    std::map<record_topic, located_record> current_;
    bool caught_up_{false};
};

} // namespace lavenderhoist::records
