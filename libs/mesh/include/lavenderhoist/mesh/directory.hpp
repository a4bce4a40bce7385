#pragma once

#include "lavenderhoist/mesh/host_record.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace lavenderhoist::mesh {

/** \brief A host record with its offset in the store. */
struct stored_host_record {
    host_record record;
    std::int64_t offset{0};
};

/**
 * \brief The newest known record of every host.
 *
 * Records arrive from the store and, while the store is unavailable, from other nodes, so late and
 * duplicate ones are normal: the record with the highest offset of a host is kept.
 */
class directory {
public:
    /** \brief Stores a record. \returns true if it is newer than the known record of its host. */
    bool apply(const host_record& record, std::int64_t offset);

    const stored_host_record* find(const std::string& host) const;

    const std::map<std::string, stored_host_record>& hosts() const noexcept { return hosts_; }

private:
    std::map<std::string, stored_host_record> hosts_;
};

} // namespace lavenderhoist::mesh
