#pragma once

#include "lavenderhoist/core/rcu_cell.hpp"
#include "lavenderhoist/mesh/host_record.hpp"
#include "lavenderhoist/mesh/routing_table.hpp"

#include <cstdint>
#include <memory>
#include <vector>

namespace lavenderhoist::relay {

/** \brief Routes and hosts, as the control thread publishes them to the data thread. Immutable. */
struct view {
    std::uint64_t generation{0};   ///< Differs between any two views.
    mesh::routing_table_ptr table; ///< Null until a configuration is known.
    std::shared_ptr<const std::vector<mesh::host_record>> hosts;
};

using view_cell = rcu_cell<view>;

} // namespace lavenderhoist::relay
