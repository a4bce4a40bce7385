#pragma once

#include "lavenderhoist/metrics/recorder.hpp"
#include "lavenderhoist/net/http_server.hpp"
#include "lavenderhoist/serving/caller_front.hpp"
#include "lavenderhoist/serving/dispatcher.hpp"
#include "lavenderhoist/serving/node_state.hpp"
#include "lavenderhoist/serving/refusal_log.hpp"
#include "lavenderhoist/serving/worker.hpp"

#include <memory>
#include <optional>

namespace lavenderhoist::node {

/** \brief One thread that serves callers: checks requests, grants retry credits, dispatches,
 * answers. */
class entry_worker {
public:
    /** \param index tells the entry threads of a node apart. */
    entry_worker(node_state& state, std::size_t index);
    entry_worker(const entry_worker&) = delete;
    entry_worker& operator=(const entry_worker&) = delete;
    ~entry_worker();

    void start();
    void stop();

    /** \brief Stops accepting connections. */
    void drain();

    /** \brief Closes connections without a request in flight. */
    void close_idle();

    /** \brief Number of requests in flight. */
    std::size_t requests_in_flight();

    /** \brief A copy of the thread's metrics. */
    metrics::recorder collect();

    /** \returns why the request was not completed, or nothing if no refusal is kept. */
    std::optional<refusal> explain(const std::string& request_id);

private:
    boost::asio::awaitable<net::response> serve(net::request message, std::string peer,
                                                net::cancellation_ptr cancelled);
    void record(const call& root, const call_answer& answer, time_point started_at);
    boost::asio::awaitable<void> housekeeping();

    node_state& state_;
    worker worker_;
    metrics::recorder counters_;
    refusal_log refusals_;
    caller_front front_;
    dispatcher dispatcher_;
    std::unique_ptr<net::http_server> server_;
};

} // namespace lavenderhoist::node
