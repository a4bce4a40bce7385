#pragma once

#include "lavenderhoist/mesh/host_record.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace lavenderhoist::mesh {

/** \brief A host record with its place in the store's order. */
struct stored_host_record {
    host_record record;
    std::int64_t offset{0};
};

/**
 * \brief The newest known record of every host, whichever way it was learnt.
 *
 * Records arrive from the store and, while the store is away, from other nodes, so late and
 * repeated ones are normal: the highest offset of a host wins.
 */
class directory {
public:
    /** \brief Takes over a record. \returns true if it is news. */
    bool apply(const host_record& record, std::int64_t offset);

    const stored_host_record* find(const std::string& host) const;

    const std::map<std::string, stored_host_record>& hosts() const noexcept { return hosts_; }

private:
    std::map<std::string, stored_host_record> hosts_;
};

} // namespace lavenderhoist::mesh
