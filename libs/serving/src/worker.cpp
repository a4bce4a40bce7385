#include "lavenderhoist/serving/worker.hpp"

#include "lavenderhoist/core/rcu_cell.hpp"

namespace lavenderhoist::node {

worker::worker() : guard_(context_.get_executor()) {}

worker::~worker() {
    stop();
}

void worker::start() {
    thread_ = std::thread([this] {
        const rcu_reader registration;
        context_.run();
    });
}

void worker::stop() {
    context_.stop();
    if (thread_.joinable()) {
        thread_.join();
    }
}

} // namespace lavenderhoist::node
