#pragma once

#include "lavenderhoist/admission/guaranteed_share.hpp"
#include "lavenderhoist/logging/line_budget.hpp"
#include "lavenderhoist/mesh/placement.hpp"
#include "lavenderhoist/mesh/windowed_retry_budget.hpp"
#include "lavenderhoist/metrics/recorder.hpp"
#include "lavenderhoist/net/deadline_queue.hpp"
#include "lavenderhoist/net/http_session.hpp"
#include "lavenderhoist/quota/quota_gate.hpp"
#include "lavenderhoist/relay/outcome_log.hpp"
#include "lavenderhoist/relay/peer_links.hpp"
#include "lavenderhoist/relay/target_port.hpp"
#include "lavenderhoist/relay/view.hpp"
#include "lavenderhoist/relay/wire_names.hpp"

#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace lavenderhoist::relay {

class crash_watch;
class known_target;

/** \brief What an entry needs to know about the local node. */
struct entry_settings {
    std::string node_id;
    std::string data_centre;
    std::string service;     ///< Of the local target.
    std::string target_host; ///< IP address from which the local target calls.
    double retry_ratio{0};   ///< Retries to a service, as a share of its requests.
    double extra_retries{0}; ///< Further retries in a window, over all nodes.
    duration retry_window{0};
    std::size_t max_held_bytes{0}; ///< For callers and other nodes; unbounded if 0.
};

/**
 * \brief Serves requests of callers and calls made by the local target: finds the route, chooses
 * the target, retries, and answers.
 *
 * Not thread-safe: all calls must be made on one executor.
 */
class entry {
public:
    entry(const entry_settings& settings, const wire_names& names, const view_cell& views,
          target_port& local_target, peer_links& peers, net::deadline_queue& deadlines,
          metrics::recorder& counters, const crash_watch& crashes, quota::quota_gate& quotas);
    entry(const entry&) = delete;
    entry& operator=(const entry&) = delete;
    ~entry();

    /** \brief Serves a completely received request of a session; answers it, at once or later. */
    void serve(const std::shared_ptr<net::http_session>& session, net::request message);

    /** \brief The caller has closed its connection. */
    void on_caller_disconnected(const std::shared_ptr<net::http_session>& session);

    /** \brief From now on connections close after each answer. */
    void begin_shutdown(time_point answers_until) noexcept {
        stopping_ = true;
        answers_until_ = answers_until;
    }

    /** \brief From now on callers are refused; nested calls are still served. */
    void refuse_callers() noexcept { refusing_ = true; }

    std::size_t in_flight() const noexcept { return pending_.size(); }

    /** \brief Limits for callers in the active configuration; null before there is one. */
    const mesh::caller_limits* limits();

    /** \brief The quota of an organisation in the active configuration. */
    std::optional<quota::rate_quota> find_quota(std::string_view organisation) const;

    /** \brief The highest admission level among the services recently called on behalf of requests
     * of a route; nothing if there were no such calls. */
    std::optional<admission::priority> callee_level(const std::string& route) const;

    /** \brief Requests the load of targets whose last reported level is above open and out of date.
     * To be called often. */
    void refresh_levels();

    /** \brief A run of the local target has completed after that many nested calls. */
    void on_run_completed(const std::string& route, int calls);

    /** \brief Evaluates which runs of the local target can be completed; to be called every
     * admission::chain_capacity::window_length. */
    void on_window();

    /** \brief Logs how many lines about single requests were suppressed since the last call. */
    void log_suppressed();

    /** \brief Logs how the requests of each route ended since the last call. */
    void log_outcomes();

private:
    struct pending;
    struct known_service;
    struct known_callee;
    using pending_ptr = std::shared_ptr<pending>;
    using known_target_ptr = std::shared_ptr<known_target>;

    void refresh();
    void rebuild_targets();
    mesh::distance distance_to(const mesh::host_record& record) const;
    pending_ptr accept(const std::shared_ptr<net::http_session>& session, net::request message);
    const mesh::organisation* find_holder(const net::request& message) const;
    void refuse_without_key(const std::shared_ptr<net::http_session>& session,
                            const std::string& id, const net::request& message);
    bool try_refuse_over_quota(const pending_ptr& request);
    admission::priority service_level(const std::string& route, const std::string& service,
                                      time_point now) const;
    void record_call(const pending& call);
    void request_levels(const std::string& route, known_service& service, time_point now);
    std::string_view parent_of(std::string_view id) const;
    const std::string& choose_service(const mesh::route& route);
    void place(const pending_ptr& request);
    bool try_raise_to_guaranteed(pending& request);
    known_target_ptr choose_target(pending& request, bool& all_refuse);
    known_target_ptr choose_shedding_target(const pending& request);
    void resend(const pending_ptr& request, const relay_answer& refusal);
    std::vector<known_target_ptr> candidates_for(const pending& request, bool include_stopping,
                                                 time_point now);
    void start_attempt(const pending_ptr& request, const known_target_ptr& target);
    void on_answer(const pending_ptr& request, const known_target_ptr& target, relay_answer answer);
    void record_health(const std::string& service, known_target& target, const relay_answer& answer,
                       time_point now);
    bool may_eject_for_shedding(const std::string& service, time_point now) const;
    bool may_retry_failure(const pending& request, const known_target& target,
                           const relay_answer& answer, time_point now) const;
    bool try_take_retry(const std::string& service);
    bool try_take_retry(const pending& request, const relay_answer& answer);
    known_callee* find_callee(const pending& call);
    void record_attempt(const pending& request, const relay_answer& answer);
    void log_limited_runs(time_point now);
    bool try_take_failure_retry(const std::string& service);
    mesh::windowed_retry_budget::limits budget_limits() const;
    mesh::windowed_retry_budget::limits chain_budget_limits() const;
    void on_deadline(const pending_ptr& request);
    void deliver(const pending_ptr& request, net::response message);
    void fail(const pending_ptr& request, const relay_answer& last);
    void finish(const pending_ptr& request);
    void answer_error(const std::shared_ptr<net::http_session>& session, const std::string& id,
                      int status, std::string_view cause, duration retry_after);
    void log_end(const pending& request, const relay_answer* failed, int status);

    const entry_settings& settings_;
    const wire_names& names_;
    const view_cell& views_;
    target_port& local_target_;
    peer_links& peers_;
    net::deadline_queue& deadlines_;
    metrics::recorder& counters_;
    const crash_watch& crashes_;
    quota::quota_gate& quotas_;
    std::mt19937_64 random_;
    mesh::placement placement_;
    std::uint64_t generation_{0};
    mesh::routing_table_ptr table_;
    std::shared_ptr<const std::vector<mesh::host_record>> hosts_;
    std::unordered_map<std::string, known_service> services_;
    /** By route of the requests that the local target runs: the routes of the nested calls. */
    std::unordered_map<std::string, std::vector<known_callee>> callees_;
    std::unordered_map<net::http_session*, pending_ptr> pending_;
    admission::guaranteed_share guaranteed_; ///< By route.
    logging::line_budget failure_lines_;
    logging::line_budget success_lines_;
    outcome_log outcomes_;
    time_point limited_runs_logged_at_{};
    bool stopping_{false};
    time_point answers_until_{time_point::max()}; ///< Bound on deadlines, during a shutdown.
    bool refusing_{false};
};

} // namespace lavenderhoist::relay
