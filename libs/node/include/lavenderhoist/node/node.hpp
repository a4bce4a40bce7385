#pragma once

#include "lavenderhoist/node/control_worker.hpp"
#include "lavenderhoist/serving/entry_worker.hpp"
#include "lavenderhoist/serving/node_state.hpp"
#include "lavenderhoist/serving/target_worker.hpp"

#include <condition_variable>
#include <memory>
#include <mutex>
#include <vector>

namespace lavenderhoist::node {

/** \brief A node: starts its threads, and stops them after a drain. */
class node {
public:
    explicit node(config::node_settings settings);
    node(const node&) = delete;
    node& operator=(const node&) = delete;
    ~node();

    void start();

    /** \brief Starts a drain in run_until_drained(); safe from any thread. */
    void request_drain();

    /** \brief Waits for a request to drain, drains and stops. */
    void run_until_drained();

private:
    void drain();
    void wait_until_idle(time_point deadline);
    bool is_idle();

    node_state state_;
    orders::owner self_;
    std::vector<std::unique_ptr<entry_worker>> entries_;
    std::unique_ptr<target_worker> target_;
    std::unique_ptr<control_worker> control_;
    std::mutex mutex_;
    std::condition_variable drain_condition_;
    bool drain_requested_{false};
};

} // namespace lavenderhoist::node
