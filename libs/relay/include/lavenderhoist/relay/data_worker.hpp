#pragma once

#include "lavenderhoist/metrics/recorder.hpp"
#include "lavenderhoist/relay/entry.hpp"
#include "lavenderhoist/relay/target_settings.hpp"

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace lavenderhoist::relay {

/** \brief Addresses of the request path's listeners. */
struct data_listeners {
    net::tcp::endpoint callers; ///< Callers and the own target.
    net::tcp::endpoint calls;   ///< Streams of other nodes.
};

/** \brief What other nodes get that ask this one for its control state; opaque here. */
struct shared_texts {
    std::shared_ptr<const std::string> state;
    std::string versions; ///< Short: how new the state is.
};

/** \brief A glance at the request path, for readiness, stopping and metrics. */
struct data_status {
    std::size_t requests{0};             ///< Of callers, not answered yet.
    std::size_t at_target{0};            ///< Waiting for or at the own target.
    std::uint64_t target_connections{0}; ///< Opened so far.
};

/**
 * \brief The thread that carries requests: callers' sessions, streams of other nodes, the target.
 *
 * All functions but run() and stop() may be called from any thread.
 */
class data_worker {
public:
    data_worker(const entry_settings& settings, const data_listeners& listeners,
                const wire_names& names, const view_cell& views);
    data_worker(const data_worker&) = delete;
    data_worker& operator=(const data_worker&) = delete;
    ~data_worker();

    void start();
    void stop();

    void set_target(std::optional<target_settings> target);

    void set_shared_state(shared_texts texts);

    /** \brief Stops in order: answers end their connections, other nodes open no more streams. */
    void begin_shutdown();

    /** \brief Refuses further requests of callers and further streams of other nodes. */
    void refuse_new_requests();

    /** \brief Closes the listeners and the connections without a request. */
    void close_listeners();

    /** \brief Calls `take` on the data thread with the present status and metrics. */
    void inspect(std::function<void(const data_status&, const metrics::recorder&)> take);

    /** \brief When the data thread last ran, to tell whether it still does. */
    time_point last_tick_at() const noexcept;

    /** \brief Path at which other nodes ask for set_shared_state()'s text. */
    static constexpr std::string_view state_path = "/lh/state";
    static constexpr std::string_view versions_path = "/lh/versions";

private:
    struct implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace lavenderhoist::relay
