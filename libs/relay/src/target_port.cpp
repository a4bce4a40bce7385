#include "lavenderhoist/relay/crash_watch.hpp"
#include "lavenderhoist/relay/internal/target_job.hpp"

#include <algorithm>
#include <utility>

namespace lavenderhoist::relay {

namespace {

/** The target itself answers at the deadline; this is the time for its answer to arrive. */
constexpr duration answer_grace = std::chrono::milliseconds(40);

/** A request with less time than this before its deadline is not sent to the target. */
constexpr duration min_time_left = std::chrono::milliseconds(2);

/** If the mean service time is shorter, a request whose caller has disconnected is not aborted at
 * once: that closes the connection, and opening another one costs the target more. */
constexpr duration min_abort_service_time = std::chrono::milliseconds(60);

/** A request that is not aborted at once when its caller disconnects is aborted after this time:
 * the disconnect must reach the target within half a second. */
constexpr duration abandoned_timeout = std::chrono::milliseconds(200);

/** Share of a route's response time objective within which its requests should leave the target;
 * the rest covers transfer and variance. */
constexpr int objective_percent = 85;

/** Answers from this status on say that a run has failed. */
constexpr int first_error_status = 500;

/** Answers from this status on say nothing about the speed of a target: failures are often fast. */
constexpr int first_failure_status = 400;

/** Weight of the latest request in the mean run time of its route. */
constexpr int run_time_divisor = 10;

/** Log lines a second about requests without an answer from the target. */
constexpr double failure_lines_per_second = 5;

} // namespace

target_port::target_port(boost::asio::any_io_executor executor, const wire_names& names,
                         std::string node_id, net::deadline_queue& deadlines, crash_watch& crashes)
    : executor_(std::move(executor)),
      names_(names),
      node_id_(std::move(node_id)),
      deadlines_(deadlines),
      crashes_(crashes),
      failure_lines_(failure_lines_per_second) {}

target_port::~target_port() {
    close_idle_links();
}

void target_port::set_target(const std::optional<target_settings>& target) {
    const bool is_same =
        target_ && target && target_->id == target->id && target_->where == target->where;
    const bool is_same_start = is_same && target_->started_at_ms == target->started_at_ms;
    const bool took_work = target_ && target_->is_accepting;
    if (target_ && !is_same_start) {
        on_target_ended();
    }
    target_ = target;
    if (!is_same_start) {
        close_idle_links();
        down_until_ = {};
    }
    if (!is_same && controller_) {
        refuse_waiting(errc::no_target);
    }
    if (!target_) {
        return;
    }
    if (!controller_) {
        controller_ = std::make_unique<admission::controller>(target_->slots);
    }
    controller_->resize(target_->slots);
    if (!is_same_start) { // what a target says of itself does not bind its successor
        notice_ = {};
        announced_limit_ = {};
        has_said_leaving_ = false;
        apply_rate_limit();
        routes_.clear();
        run_times_.clear();
    }
    if (!is_same_start && target_->cold_start_left.count() > 0) {
        controller_->on_restart(target_->cold_start_left);
    } else if (!is_same_start) {
        controller_->assume_warm(); // the target was running before this node started
    }
    if (took_work && !target_->is_accepting) {
        refuse_waiting(errc::draining);
    }
}

void target_port::refuse_waiting(errc cause) {
    std::vector<ticket> waiting;
    for (const auto& [id, job] : jobs_) {
        if (!job->admitted) {
            waiting.push_back(id);
        }
    }
    for (const auto id : waiting) {
        controller_->on_cancel(id);
        refuse(id, cause, duration(0));
    }
}

std::optional<admission::priority> target_port::level_below(const std::string& route) const {
    return callee_level_ ? callee_level_(route) : std::nullopt;
}

load_report target_port::load(const std::string& route) const {
    if (!controller_) {
        return {};
    }
    const auto known = routes_.find(route);
    const int busy = controller_->in_flight() + controller_->waiting();
    const auto below = level_below(route).value_or(admission::open_level);
    load_report target_load{controller_->limit(), busy, std::max(controller_->level(), below),
                            controller_->service_time()};
    target_load.is_leaving = has_said_leaving_;
    target_load.rate_limit = controller_->rate_limit();
    target_load.rate_backlog = controller_->rate_backlog(runtime_clock::now());
    if (const auto run_time = run_times_.find(route); run_time != run_times_.end()) {
        target_load.run_time = run_time->second;
    }
    if (known == routes_.end()) {
        return target_load;
    }
    // Requests of the route are subject to both limits; the more utilised one is reported.
    const auto& limit = known->second.limit;
    const bool is_tighter =
        limit.in_flight() * target_load.limit > target_load.busy * limit.value();
    if (is_tighter) {
        target_load.limit = limit.value();
        target_load.busy = limit.in_flight();
    }
    return target_load;
}

target_port::ticket target_port::submit(relay_request request, done_handler done) {
    const auto now = runtime_clock::now();
    const auto id = ++last_ticket_;
    request.deadline = std::min(request.deadline, answers_until_);
    errc cause = errc::ok;
    if (!target_ || target_->service != request.service) {
        cause = errc::no_target;
    } else if (!is_accepting()) {
        cause = errc::draining;
    } else if (now < down_until_) {
        cause = errc::target_lost;
    } else if (request.deadline - now < min_time_left) {
        cause = errc::deadline_passed;
    } else if (crashes_.is_quarantined(request)) {
        cause = errc::quarantined;
    }
    if (cause != errc::ok) {
        ++totals_.refused_requests;
        auto answer = make_failure(execution::not_run, cause, step::target, node_id_);
        answer.load = load(request.route);
        log_failure(request, answer);
        done(std::move(answer));
        return id;
    }
    // The caller's entry may not have heard of the level. Work for a chain that would be refused at
    // its end is wasted.
    if (!request.is_nested &&
        request.importance < level_below(request.route).value_or(admission::open_level)) {
        refuse_at_arrival(request, errc::refused_early, done);
        return id;
    }
    // A request without nested calls holds only its own slot, which admission already counts.
    if (!request.is_nested && level_below(request.route)) {
        auto& route = state_of(request);
        const bool is_guaranteed =
            admission::rank_of(request.importance) == admission::guaranteed_rank;
        if (!route.limit.can_start() && !is_guaranteed) {
            refuse_at_arrival(request, errc::overloaded, done);
            return id;
        }
        route.limit.on_start(id, now);
    }
    if (request.target_rate &&
        request.target_rate->target_started_at_ms == target_->started_at_ms) {
        announced_limit_.on_hint(request.target_rate->per_second);
        apply_rate_limit();
    }
    auto made = std::make_shared<job>();
    made->id = id;
    made->request = std::move(request);
    made->digests = digests_of(made->request);
    made->done = std::move(done);
    jobs_.emplace(id, made);
    made->deadline = deadlines_.add(made->request.deadline + answer_grace, [this, made] {
        made->deadline.reset();
        on_deadline(made);
    });
    apply(controller_->on_arrival(
        {id, made->request.importance, made->request.is_nested, made->request.deadline}, now));
    schedule_rate_time();
    return id;
}

void target_port::refuse_at_arrival(const relay_request& request, errc cause,
                                    const done_handler& done) {
    ++totals_.refused_requests;
    auto answer = make_failure(execution::not_run, cause, step::admission, node_id_);
    answer.retry_after = default_retry_after;
    answer.load = load(request.route);
    log_failure(request, answer);
    done(std::move(answer));
}

target_port::route_state& target_port::state_of(const relay_request& request) {
    const bool is_cold = target_->cold_start_left.count() > 0;
    const auto added = routes_.try_emplace(
        request.route, route_state{admission::objective_limit(target_->slots, is_cold)});
    auto& route = added.first->second;
    route.objective = request.objective * objective_percent / 100;
    return route;
}

void target_port::release_route_slot(const job& ended) {
    const auto found = routes_.find(ended.request.route);
    if (found != routes_.end()) {
        found->second.limit.on_end(ended.id, runtime_clock::now());
    }
}

void target_port::record_run_time(const job& ended) {
    if (!ended.sent || !is_of_current_start(ended)) {
        return;
    }
    const auto time = runtime_clock::now() - ended.sent_at;
    const auto [found, is_new] = run_times_.try_emplace(ended.request.route, time);
    if (!is_new) {
        found->second += (time - found->second) / run_time_divisor;
    }
}

void target_port::apply(const std::vector<admission::decision>& decisions) {
    for (const auto& each : decisions) {
        if (const auto* const run = std::get_if<admission::admitted>(&each)) {
            const auto found = jobs_.find(run->id);
            if (found != jobs_.end()) {
                start(job_ptr(found->second));
            }
        } else if (const auto* const no = std::get_if<admission::refused>(&each)) {
            refuse(no->id, no->reason, default_retry_after);
        }
    }
}

void target_port::refuse(ticket which, errc cause, duration retry_after) {
    const auto found = jobs_.find(which);
    if (found == jobs_.end()) {
        return;
    }
    const job_ptr job = found->second;
    jobs_.erase(found);
    release_route_slot(*job);
    if (job->deadline) {
        deadlines_.remove(*job->deadline);
    }
    ++totals_.refused_requests;
    auto answer = make_failure(execution::not_run, cause, step::admission, node_id_);
    answer.retry_after = retry_after;
    answer.load = load(job->request.route);
    log_failure(job->request, answer);
    job->done(std::move(answer));
}

void target_port::finish(const job_ptr& job, relay_answer answer, admission::completion how) {
    if (jobs_.erase(job->id) == 0) {
        return;
    }
    if (job->deadline) {
        deadlines_.remove(*job->deadline);
        job->deadline.reset();
    }
    remove_running(*job);
    release_route_slot(*job);
    if (how == admission::completion::answered && answer.message.status < first_failure_status) {
        record_run_time(*job);
    }
    const auto decisions = controller_->on_end(job->id, how, runtime_clock::now());
    answer.reached_target = job->sent;
    const bool is_completed =
        answer.result == execution::answered && answer.message.status < first_error_status;
    if (is_completed && job->progress.calls > 0 && run_handler_) {
        run_handler_(job->request.route, job->progress.calls);
    }
    answer.load = load(job->request.route);
    if (answer.result != execution::answered) {
        log_failure(job->request, answer);
    }
    if (job->done) {
        job->done(std::move(answer));
    }
    apply(decisions);
    schedule_rate_time();
}

void target_port::remove_running(const job& ended) {
    const auto found = running_.find(ended.request.id);
    if (found != running_.end() && found->second == &ended) {
        running_.erase(found);
    }
}

const relay_request* target_port::find_running(std::string_view request_id) const {
    const auto found = running_.find(request_id);
    return found == running_.end() ? nullptr : &found->second->request;
}

run_progress* target_port::find_progress(std::string_view request_id) {
    const auto found = running_.find(request_id);
    return found == running_.end() ? nullptr : &found->second->progress;
}

void target_port::on_deadline(const job_ptr& job) {
    if (!jobs_.contains(job->id)) {
        return;
    }
    if (!job->admitted) {
        controller_->on_cancel(job->id);
        refuse(job->id, errc::deadline_passed, duration(0));
        return;
    }
    if (const auto link = std::exchange(job->link, nullptr)) {
        link->abandon();
    }
    if (job->sent && is_of_current_start(*job)) {
        crashes_.on_unanswered(job->digests);
        close_silent_links(*job);
    }
    const auto proof = job->sent ? execution::unknown : execution::not_run;
    finish(job, make_failure(proof, errc::deadline_passed, step::target, node_id_),
           admission::completion::failed);
}

void target_port::cancel(ticket which) {
    const auto found = jobs_.find(which);
    if (found == jobs_.end()) {
        return;
    }
    const job_ptr job = found->second;
    job->done = nullptr;
    if (!job->admitted) {
        controller_->on_cancel(which);
        jobs_.erase(which);
        release_route_slot(*job);
        if (job->deadline) {
            deadlines_.remove(*job->deadline);
        }
        return;
    }
    if (job->sent && !job->request.idempotent) {
        return; // not idempotent and possibly partly done: must run to its end
    }
    if (job->sent && controller_->service_time() < min_abort_service_time) {
        shorten_deadline(job);
        return;
    }
    if (const auto link = std::exchange(job->link, nullptr)) {
        link->abandon();
    }
    finish(job, make_failure(execution::unknown, errc::cancelled, step::target, node_id_),
           admission::completion::failed);
}

void target_port::shorten_deadline(const job_ptr& job) {
    if (job->deadline) {
        deadlines_.remove(*job->deadline);
    }
    const auto latest = std::min(job->request.deadline, runtime_clock::now() + abandoned_timeout);
    job->deadline = deadlines_.add(latest, [this, job] {
        job->deadline.reset();
        on_deadline(job);
    });
}

void target_port::on_window() {
    if (controller_) {
        apply(controller_->on_window(runtime_clock::now()));
        log_level();
        log_load();
    }
    std::erase_if(refused_ids_,
                  [now = runtime_clock::now()](const auto& each) { return each.second < now; });
    for (auto& [name, route] : routes_) {
        route.limit.on_window(route.objective, runtime_clock::now());
    }
}

} // namespace lavenderhoist::relay
