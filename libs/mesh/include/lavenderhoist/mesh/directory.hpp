#pragma once

#include "lavenderhoist/mesh/host_record.hpp"
#include "lavenderhoist/mesh/record_position.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace lavenderhoist::mesh {

/** \brief A host record with its position in the store. */
struct stored_host_record {
    host_record record;
    record_position position;
};

/**
 * \brief The newest known record of every host.
 *
 * Records arrive from the store and, while the store is unavailable, from other nodes, so late and
 * duplicate ones are normal: the record with the highest position of a host is kept. A restored
 * store may return records that are older than the known ones: a departure of a target, or a newer
 * start, is kept until the host publishes its record again.
 */
class directory {
public:
    /** \brief Stores a record. \returns true if it is newer than the known record of its host. */
    bool apply(const host_record& record, record_position position);

    /** \brief Stores a record that this node has just written, even if it reverts a departure.
     * \returns false if a record at a higher position is known. */
    bool put(const host_record& record, record_position position);

    const stored_host_record* find(const std::string& host) const;

    const std::map<std::string, stored_host_record>& hosts() const noexcept { return hosts_; }

private:
    std::map<std::string, stored_host_record> hosts_;
};

} // namespace lavenderhoist::mesh
