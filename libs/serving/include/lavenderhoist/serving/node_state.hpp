#pragma once

#include "lavenderhoist/config/node_settings.hpp"
#include "lavenderhoist/core/rcu_cell.hpp"
#include "lavenderhoist/serving/routing_view.hpp"

#include <atomic>

namespace lavenderhoist::node {

/** \brief State shared by the threads of a node. */
struct node_state {
    explicit node_state(config::node_settings given)
        : settings(std::move(given)), view(std::make_unique<const routing_view>()) {}

    const config::node_settings settings;
    rcu_cell<routing_view> view;       ///< Written only by the control thread.
    std::atomic<bool> draining{false}; ///< True from the start of an orderly shutdown; never reset.
};

} // namespace lavenderhoist::node
