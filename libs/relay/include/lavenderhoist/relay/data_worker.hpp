#pragma once

#include "lavenderhoist/metrics/recorder.hpp"
#include "lavenderhoist/relay/crash_watch.hpp"
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
    net::tcp::endpoint callers;      ///< Callers and the local target.
    net::tcp::endpoint peer_streams; ///< Streams from other nodes.
};

/** \brief Response bodies for other nodes that fetch the control state of this one; opaque here.
 * Both functions are called on the data thread. */
struct encoded_state {
    /** The state, without what the peer with the given versions knows. */
    std::function<std::string(std::string_view known_versions)> state;
    /** The versions of the state and their age, to check whether it is newer. */
    std::function<std::string()> versions;
};

/** \brief Counts on the request path, for shutdown and metrics. */
struct data_status {
    std::size_t requests{0};             ///< From callers, not answered yet.
    std::size_t at_target{0};            ///< Queued for the local target or running on it.
    std::uint64_t target_connections{0}; ///< Opened to the local target since the start.
    std::size_t closing_sessions{0};  ///< Whose callers may not have all of their last answer yet.
    std::size_t undelivered_peers{0}; ///< Connections of peers that lack some of their answers.
};

/**
 * \brief The data thread: callers' sessions, streams from other nodes and the local target.
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

    /** \brief Sets what is called, on the data thread, when the local target has said in an answer
     * that it leaves. To be called before start(). */
    void set_departure_handler(target_port::departure_handler handler);

    /** \brief Sets what is called, on the data thread, with news of requests that crash their
     * targets. To be called before start(). */
    void set_crash_handler(crash_watch::news_handler handler);

    /** \brief Adds what other nodes have found of such requests. */
    void merge_suspicions(std::vector<quarantine::suspicion> found);

    /** \brief Calls `take` on the data thread with the usage of organisations at this node. */
    void take_usage_report(std::function<void(std::string)> take);

    /** \brief Adds that usage to what the nodes of the data centre have reported to this one, and
     * calls `take` on the data thread with the sums. */
    void collect_usage(std::function<void(std::string)> take);

    /** \brief Applies a collector's answer to the report of this node. */
    void set_allowances(std::string answer);

    /** \brief Adds the answer of another data centre's collector. */
    void merge_usage_report(std::string answer);

    /** \brief Replaces what state_path and versions_path serve. */
    void set_shared_state(encoded_state state);

    /** \brief Replaces what versions_path serves. */
    void set_versions(std::function<std::string()> versions);

    /** \brief Starts an orderly shutdown: callers' connections close after the next answer, and
     * other nodes are made to open no more streams (GOAWAY). Requests that arrive from now on are
     * given no more time than `answers_until`, so that their targets answer before the end. */
    void begin_shutdown(time_point answers_until);

    /** \brief Refuses further requests from callers and further streams from other nodes. */
    void refuse_new_requests();

    /** \brief Closes the listener for callers and the callers' connections without a request. */
    void close_listeners();

    /** \brief Calls `take` on the data thread with the current status and metrics. */
    void inspect(std::function<void(const data_status&, const metrics::recorder&)> take);

    /** \brief When the timer of the data thread last ran; long ago if the thread is stalled. */
    time_point last_tick_at() const noexcept;

    /** \brief Path at which other nodes fetch the state given to set_shared_state(). */
    static constexpr std::string_view state_path = "/lh/state";
    /** \brief Field with the versions that the peer knows. */
    static constexpr std::string_view known_versions_field = "lh-versions";
    /** \brief Path at which other nodes tell which requests they suspect of crashing their targets;
     * the answer lists all that this one does. */
    static constexpr std::string_view suspicions_path = "/lh/suspicions";
    /** \brief Path at which other nodes report the usage of organisations. */
    static constexpr std::string_view usage_path = "/lh/usage";
    /** \brief Path at which other nodes fetch its versions only. */
    static constexpr std::string_view versions_path = "/lh/versions";

private:
    struct implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace lavenderhoist::relay
