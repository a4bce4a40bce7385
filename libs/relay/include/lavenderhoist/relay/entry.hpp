#pragma once

#include "lavenderhoist/admission/guaranteed_share.hpp"
#include "lavenderhoist/logging/line_budget.hpp"
#include "lavenderhoist/mesh/placement.hpp"
#include "lavenderhoist/mesh/windowed_retry_budget.hpp"
#include "lavenderhoist/metrics/recorder.hpp"
#include "lavenderhoist/net/deadline_queue.hpp"
#include "lavenderhoist/net/http_session.hpp"
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

class known_target;

/** \brief What an entry must know about its own node. */
struct entry_settings {
    std::string node_id;
    std::string data_centre;
    std::string service;     ///< Of the target beside this node.
    std::string target_host; ///< IP address from which the own target calls.
    double repeat_ratio{0};  ///< Repeats of a service, as a share of its requests.
    double repeat_extra{0};  ///< Further repeats in a window, over all nodes.
    duration repeat_window{0};
};

/**
 * \brief Where requests of callers, and calls of the own target, enter: route, choice of target,
 * repeats, and the answer.
 *
 * Not thread-safe; lives on one executor.
 */
class entry {
public:
    entry(const entry_settings& settings, const wire_names& names, const view_cell& views,
          target_port& own_target, peer_links& peers, net::deadline_queue& deadlines,
          metrics::recorder& counters);
    entry(const entry&) = delete;
    entry& operator=(const entry&) = delete;
    ~entry();

    /** \brief Serves a whole request of a session; answers it, at once or later. */
    void serve(const std::shared_ptr<net::http_session>& session, net::request message);

    /** \brief The caller has closed its connection. */
    void on_gone(const std::shared_ptr<net::http_session>& session);

    /** \brief From now on every answer ends its connection. */
    void begin_stop() noexcept { stopping_ = true; }

    /** \brief From now on callers are refused; calls of requests under way are still served. */
    void refuse_callers() noexcept { refusing_ = true; }

    std::size_t in_flight() const noexcept { return pending_.size(); }

    /** \brief Limits for callers of the configuration in force; null before there is one. */
    const mesh::caller_limits* limits();

    /** \brief The admission level that calls made for requests of a route have met lately; nothing
     * if there were none. */
    std::optional<admission::priority> callee_level(const std::string& route) const;

    /** \brief Asks for levels that are in force and were not heard lately. To be called often. */
    void refresh_levels();

    /** \brief Logs how many decision lines were suppressed since the last call. */
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
    admission::priority lowest_level(const std::string& route, const std::string& service,
                                     time_point now) const;
    void note_call(const std::string& parent_route, const pending& call);
    void ask_levels(const std::string& route, known_service& service, time_point now);
    std::string_view parent_of(std::string_view id) const;
    const std::string& choose_service(const mesh::route& route);
    void place(const pending_ptr& request);
    bool raise(pending& request);
    known_target_ptr choose(const pending& request, bool& all_refuse);
    std::vector<known_target_ptr> targets_for(const pending& request, bool stopping_too,
                                              time_point now);
    void try_target(const pending_ptr& request, const known_target_ptr& target);
    void on_answer(const pending_ptr& request, const known_target_ptr& target, relay_answer answer);
    void note_health(const std::string& service, known_target& target, const relay_answer& answer,
                     time_point now);
    bool may_eject_for_shedding(const std::string& service, time_point now) const;
    bool is_worth_another(const pending& request, const known_target& target,
                          const relay_answer& answer, time_point now) const;
    bool take_repeat(const std::string& service);
    bool take_failure_repeat(const std::string& service);
    mesh::windowed_retry_budget::limits budget_limits() const;
    void on_deadline(const pending_ptr& request);
    void deliver(const pending_ptr& request, net::response message);
    void give_up(const pending_ptr& request, const relay_answer& last);
    void finish(const pending_ptr& request);
    void answer_own(const std::shared_ptr<net::http_session>& session, const std::string& id,
                    int status, std::string_view cause, duration retry_after);
    void log_end(const pending& request, const relay_answer* failed, int status);

    const entry_settings& settings_;
    const wire_names& names_;
    const view_cell& views_;
    target_port& own_target_;
    peer_links& peers_;
    net::deadline_queue& deadlines_;
    metrics::recorder& counters_;
    std::mt19937_64 random_;
    mesh::placement placement_;
    std::uint64_t generation_{0};
    mesh::routing_table_ptr table_;
    std::shared_ptr<const std::vector<mesh::host_record>> hosts_;
    std::unordered_map<std::string, known_service> services_;
    /** By route of the requests that the own target runs: the routes of the calls it makes. */
    std::unordered_map<std::string, std::vector<known_callee>> callees_;
    std::unordered_map<net::http_session*, pending_ptr> pending_;
    admission::guaranteed_share guaranteed_; ///< By route.
    logging::line_budget failure_lines_;
    logging::line_budget success_lines_;
    outcome_log outcomes_;
    bool stopping_{false};
    bool refusing_{false};
};

} // namespace lavenderhoist::relay
