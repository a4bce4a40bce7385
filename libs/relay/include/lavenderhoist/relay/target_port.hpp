#pragma once

#include "lavenderhoist/admission/controller.hpp"
#include "lavenderhoist/admission/objective_limit.hpp"
#include "lavenderhoist/logging/line_budget.hpp"
#include "lavenderhoist/net/deadline_queue.hpp"
#include "lavenderhoist/net/http_link.hpp"
#include "lavenderhoist/relay/announced_limit.hpp"
#include "lavenderhoist/relay/load_log.hpp"
#include "lavenderhoist/relay/relay_answer.hpp"
#include "lavenderhoist/relay/relay_request.hpp"
#include "lavenderhoist/relay/target_notice.hpp"
#include "lavenderhoist/relay/target_settings.hpp"
#include "lavenderhoist/relay/wire_names.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace lavenderhoist::relay {

class crash_watch;
struct run_progress;

/**
 * \brief Sends requests to the local target: admission, connections, and proof of whether a request
 * has run.
 *
 * Not thread-safe: all calls must be made on one executor.
 */
class target_port {
public:
    using done_handler = std::function<void(relay_answer)>;
    /** \brief Identifies a request for cancel(). */
    using ticket = std::uint64_t;

    /** \brief Counters for metrics. */
    struct counters {
        std::uint64_t sent_requests{0};
        std::uint64_t refused_requests{0};
        std::uint64_t opened_connections{0};
    };

    /** \param crashes is told what the target was running when it ended. */
    target_port(boost::asio::any_io_executor executor, const wire_names& names, std::string node_id,
                net::deadline_queue& deadlines, crash_watch& crashes);
    target_port(const target_port&) = delete;
    target_port& operator=(const target_port&) = delete;
    ~target_port();

    /** \brief Sets or replaces the target. Queued requests are refused if it is another one or no
     * longer accepts requests; running ones continue. */
    void set_target(const std::optional<target_settings>& target);

    /** \brief Called when the target has said in an answer that it leaves, with its id and start.
     */
    using departure_handler =
        std::function<void(const std::string& target_id, std::int64_t started_at_ms)>;

    /** \brief Sets the handler. From that answer on requests are refused with or without it. */
    void set_departure_handler(departure_handler handler) {
        departure_handler_ = std::move(handler);
    }

    /** \brief Counts the bytes held of answers that are not complete. */
    void set_memory(net::memory_pool_ptr memory) { memory_ = std::move(memory); }

    /** \brief Refuses further requests as not run; those queued and running continue. */
    void refuse_new_requests() noexcept { refusing_ = true; }

    /** \brief Further requests are given no more time than this. */
    void set_answers_until(time_point latest) noexcept { answers_until_ = latest; }

    /** \brief Queues or sends a request. `done` is called once, maybe at once, unless cancelled. */
    ticket submit(relay_request request, done_handler done);

    /** \brief Cancels a request whose caller has disconnected: it does not start, and if it is
     * idempotent it is aborted. Its handler is not called. */
    void cancel(ticket which);

    /** \brief To be called every admission window. */
    void on_window();

    /** \brief Closes idle connections shortly before the target closes them. */
    void close_expiring_links();

    /** \returns the request with that id that the target is running, or null. Valid until the next
     * call. */
    const relay_request* find_running(std::string_view request_id) const;

    /** \returns the progress of that request, or null if the target does not run it. Valid until
     * the next call. */
    run_progress* find_progress(std::string_view request_id);

    /** \brief Called when the target has completed a run that made nested calls, with its route and
     * the number of calls. */
    using run_handler = std::function<void(const std::string& route, int calls)>;
    void set_run_handler(run_handler handler) { run_handler_ = std::move(handler); }

    /** \brief Returns the admission level that applies to the nested calls of a route; nothing if
     * requests of the route make no calls. */
    using callee_level =
        std::function<std::optional<admission::priority>(const std::string& route)>;

    /** \brief Makes decisions and load reports account for the services that the target calls. */
    void set_callee_level(callee_level below) { callee_level_ = std::move(below); }

    /** \brief The load that applies to requests of a route, nested calls included. */
    load_report load(const std::string& route) const;
    std::size_t in_flight() const noexcept { return jobs_.size(); }
    const counters& totals() const noexcept { return totals_; }
    std::size_t open_connections() const noexcept { return links_.size(); }

private:
    struct job;
    /** Limit on the requests of a route that run at once, nested calls not counted. */
    struct route_state {
        admission::objective_limit limit;
        duration objective{0}; ///< Within which requests should leave the target.
    };
    using job_ptr = std::shared_ptr<job>;
    using link_ptr = std::shared_ptr<net::http_link>;

    void apply(const std::vector<admission::decision>& decisions);
    void start(const job_ptr& job);
    void connect(const job_ptr& job);
    link_ptr add_link(net::tcp::socket socket);
    void check_target();
    void on_target_ended();
    void send(const job_ptr& job, const link_ptr& link);
    void on_answer(const job_ptr& job, net::exchange_result result);
    void on_deadline(const job_ptr& job);
    relay_answer interpret(const job& job, net::exchange_result result) const;
    net::request make_message(const job& job) const;
    link_ptr take_idle_link(const job& job);
    void finish(const job_ptr& job, relay_answer answer, admission::completion how);
    void remove_running(const job& ended);
    void shorten_deadline(const job_ptr& job);
    void refuse(ticket which, errc cause, duration retry_after);
    void refuse_waiting(errc cause);
    void refuse_at_arrival(const relay_request& request, errc cause, const done_handler& done);
    void close_idle_links();
    void close_silent_links(const job& unanswered);
    void enforce_received_limit();
    void count_received();
    std::size_t received() const;
    void abort_largest_answer();
    void log_level();
    void log_load();
    void log_failure(const relay_request& request, const relay_answer& answer);
    void on_notice(const job& job, const target_notice& notice);
    bool is_of_current_start(const job& job) const noexcept;
    bool is_accepting() const noexcept {
        return target_ && target_->is_accepting && !has_said_leaving_ && !refusing_;
    }
    void apply_rate_limit();
    void schedule_rate_time();
    std::optional<admission::priority> level_below(const std::string& route) const;
    route_state& state_of(const relay_request& request);
    void release_route_slot(const job& ended);
    void record_run_time(const job& ended);

    boost::asio::any_io_executor executor_;
    const wire_names& names_;
    std::string node_id_;
    net::deadline_queue& deadlines_;
    crash_watch& crashes_;
    std::optional<target_settings> target_;
    std::unique_ptr<admission::controller> controller_;
    std::unordered_map<std::string, route_state> routes_;
    std::unordered_map<std::string, duration> run_times_; ///< Mean time in a slot, by route.
    std::unordered_map<ticket, job_ptr> jobs_;
    std::unordered_map<std::string_view, job*> running_; ///< By request id; views into the jobs.
    std::unordered_map<net::http_link*, link_ptr> links_;
    std::vector<link_ptr> idle_; ///< The most recently used one is at the back.
    /** Requests that the target has refused, until their deadlines: a second copy of the refusal
     * may still arrive on the connection, with the same request id. */
    std::unordered_map<std::string, time_point> refused_ids_;
    net::memory_pool_ptr memory_;
    net::memory_charge received_charge_; ///< For all answers that are not complete.
    ticket last_ticket_{0};
    callee_level callee_level_;
    run_handler run_handler_;
    time_point down_until_{};
    time_point answered_at_{}; ///< When the target last answered, on any connection.
    bool is_checking_target_{false};
    logging::line_budget failure_lines_;
    load_log load_log_;
    target_notice notice_; ///< The last one in an answer of the target.
    announced_limit announced_limit_;
    bool has_said_leaving_{false}; ///< The current start of the target; final.
    departure_handler departure_handler_;
    std::optional<double> applied_rate_limit_; ///< The limit that the controller knows.
    std::optional<net::deadline_queue::handle> rate_timer_;
    std::uint64_t logged_sent_requests_{0};
    bool refusing_{false};
    time_point answers_until_{time_point::max()};
    admission::priority logged_level_{admission::open_level};
    counters totals_;
};

} // namespace lavenderhoist::relay
