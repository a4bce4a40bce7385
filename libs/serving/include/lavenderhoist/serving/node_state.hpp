#pragma once

#include "lavenderhoist/config/node_settings.hpp"
#include "lavenderhoist/core/rcu_cell.hpp"
#include "lavenderhoist/serving/routing_view.hpp"

#include <atomic>

namespace lavenderhoist::node {

/** \brief What the threads of a node share. */
struct node_state {
    explicit node_state(config::node_settings given)
        : settings(std::move(given)), view(std::make_unique<const routing_view>()) {}

    const config::node_settings settings;
    rcu_cell<routing_view> view;       ///< Written by the control thread only.
    std::atomic<bool> draining{false}; ///< Set once; the node takes no new callers.
};

} // namespace lavenderhoist::node
