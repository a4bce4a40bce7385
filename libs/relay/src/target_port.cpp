#include "lavenderhoist/relay/target_port.hpp"

#include "lavenderhoist/logging/log.hpp"

#include <boost/json/object.hpp>

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace lavenderhoist::relay {

namespace {

/** How long to wait for a connection to a target on the same host. */
constexpr duration connect_timeout = std::chrono::milliseconds(300);

/** After a failed connection the target is not tried for this long. */
constexpr duration down_pause = std::chrono::milliseconds(100);

/** The target answers by itself at the deadline; its answer needs this long to arrive. */
constexpr duration answer_grace = std::chrono::milliseconds(40);

/** Less time than this is not worth a target's work. */
constexpr duration least_time = std::chrono::milliseconds(2);

/** Of an idle connection's announced lifetime, the share for which it is used. */
constexpr int idle_use_percent = 70;

/** Assumed lifetime of idle connections to a target that has not announced one: such a lifetime
 * lies below a second, since targets announce whole seconds. */
constexpr duration unannounced_lifetime = std::chrono::milliseconds(500);

/** When a refused caller may come back, if the admission controller doesn't say. */
constexpr duration refusal_wait = std::chrono::milliseconds(250);

/** Where requests take less time than this, one whose caller has gone is left to finish: breaking
 * it off closes its connection, and opening another one costs the target more. */
constexpr duration short_service_time = std::chrono::milliseconds(60);

/** How long it may take then; callers' going must reach the target within half a second. */
constexpr duration abandoned_time = std::chrono::milliseconds(200);

/** Part of a route's objective within which its requests should leave the target; the rest is for
 * the way and for the spread. */
constexpr int goal_percent = 85;

/** Smaller moves of the admission level are not logged. */
constexpr admission::priority logged_level_step = admission::cohorts / 4;

/** Log lines a second about requests that got no answer of the target. */
constexpr double failure_lines_per_second = 5;

constexpr std::size_t max_answer_bytes = 64U << 20U;
constexpr int status_misdirected = 421;
constexpr int first_failure_status = 300;
constexpr int status_success = 200;

} // namespace

/** A request that waits for, or is at, the target. */
struct target_port::job {
    ticket id{0};
    relay_request request;
    done_handler done;
    std::optional<net::deadline_queue::ticket> deadline;
    link_ptr link;
    std::shared_ptr<net::tcp::socket> connecting;
    std::string target_id;
    bool admitted{false};
    bool sent{false};
};

target_port::target_port(boost::asio::any_io_executor executor, const wire_names& names,
                         std::string node_id, net::deadline_queue& deadlines)
    : executor_(std::move(executor)),
      names_(names),
      node_id_(std::move(node_id)),
      deadlines_(deadlines),
      failure_lines_(failure_lines_per_second) {}

target_port::~target_port() {
    forget_links();
}

void target_port::set_target(const std::optional<target_settings>& target) {
    const bool is_same =
        target_ && target && target_->id == target->id && target_->where == target->where;
    const bool took_work = target_ && target_->takes_work;
    target_ = target;
    if (!is_same) {
        forget_links();
        down_until_ = {};
        if (controller_) {
            refuse_waiting(errc::no_target);
        }
    }
    if (!target_) {
        return;
    }
    if (!controller_) {
        controller_ = std::make_unique<admission::controller>(target_->slots);
    }
    controller_->resize(target_->slots);
    if (!is_same) {
        routes_.clear();
    }
    if (!is_same && target_->cold_left.count() > 0) {
        controller_->restart();
    } else if (!is_same) {
        controller_->assume_warm(); // this node was started later than its target
    }
    if (took_work && !target_->takes_work) {
        refuse_waiting(errc::draining);
    }
}

void target_port::forget_links() {
    for (const auto& link : std::exchange(idle_, {})) {
        links_.erase(link.get());
        link->give_up();
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
        controller_->cancel(id);
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
    const load_report whole{controller_->limit(), busy, std::max(controller_->level(), below)};
    if (known == routes_.end()) {
        return whole;
    }
    // The tighter of the two bounds is what requests of the route meet.
    const auto& limit = known->second.limit;
    const bool is_tighter = limit.in_flight() * whole.limit > whole.busy * limit.value();
    return is_tighter ? load_report{limit.value(), limit.in_flight(), whole.level} : whole;
}

target_port::ticket target_port::submit(relay_request request, done_handler done) {
    const auto now = runtime_clock::now();
    const auto id = ++last_ticket_;
    errc cause = errc::ok;
    if (!target_ || target_->service != request.service) {
        cause = errc::no_target;
    } else if (!target_->takes_work || refusing_) {
        cause = errc::draining;
    } else if (now < down_until_) {
        cause = errc::target_lost;
    } else if (request.deadline - now < least_time) {
        cause = errc::deadline_passed;
    }
    if (cause != errc::ok) {
        ++totals_.refused;
        auto answer = make_failure(execution::not_run, cause, step::target, node_id_);
        answer.load = load(request.route);
        log_failure(request, answer);
        done(std::move(answer));
        return id;
    }
    // Without calls further down a request holds no slots but its own, which admission counts.
    if (!request.under_way && level_below(request.route)) {
        auto& route = state_of(request);
        if (!route.limit.admits()) {
            ++totals_.refused;
            auto answer =
                make_failure(execution::not_run, errc::overloaded, step::admission, node_id_);
            answer.retry_after = refusal_wait;
            answer.load = load(request.route);
            log_failure(request, answer);
            done(std::move(answer));
            return id;
        }
        route.limit.on_start(id, now);
    }
    auto made = std::make_shared<job>();
    made->id = id;
    made->request = std::move(request);
    made->done = std::move(done);
    jobs_.emplace(id, made);
    made->deadline = deadlines_.add(made->request.deadline + answer_grace, [this, made] {
        made->deadline.reset();
        on_deadline(made);
    });
    apply(controller_->offer(
        {id, made->request.importance, made->request.under_way, made->request.deadline}, now));
    return id;
}

target_port::route_state& target_port::state_of(const relay_request& request) {
    const bool is_cold = target_->cold_left.count() > 0;
    const auto added = routes_.try_emplace(
        request.route, route_state{admission::objective_limit(target_->slots, is_cold)});
    auto& route = added.first->second;
    route.goal = request.objective * goal_percent / 100;
    return route;
}

void target_port::leave_route(const job& ended) {
    const auto found = routes_.find(ended.request.route);
    if (found != routes_.end()) {
        found->second.limit.on_end(ended.id, runtime_clock::now());
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
            refuse(no->id, no->reason, refusal_wait);
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
    leave_route(*job);
    if (job->deadline) {
        deadlines_.remove(*job->deadline);
    }
    ++totals_.refused;
    auto answer = make_failure(execution::not_run, cause, step::admission, node_id_);
    answer.retry_after = retry_after;
    answer.load = load(job->request.route);
    log_failure(job->request, answer);
    job->done(std::move(answer));
}

void target_port::start(const job_ptr& job) {
    job->admitted = true;
    if (!target_) {
        finish(job, make_failure(execution::not_run, errc::no_target, step::target, node_id_),
               admission::finish::failed);
        return;
    }
    job->target_id = target_->id;
    if (const auto link = take_idle_link()) {
        send(job, link);
        return;
    }
    if (links_.size() >= static_cast<std::size_t>(target_->max_connections)) {
        finish(job, make_failure(execution::not_run, errc::overloaded, step::connect, node_id_),
               admission::finish::failed);
        return;
    }
    connect(job);
}

target_port::link_ptr target_port::take_idle_link() {
    while (!idle_.empty()) {
        auto link = std::move(idle_.back());
        idle_.pop_back();
        if (link->is_idle()) {
            return link;
        }
        links_.erase(link.get());
    }
    return nullptr;
}

void target_port::connect(const job_ptr& job) {
    job->connecting = std::make_shared<net::tcp::socket>(executor_);
    const auto where = target_->where;
    const auto timeout =
        deadlines_.add(runtime_clock::now() + connect_timeout, [socket = job->connecting] {
            boost::system::error_code ignored;
            socket->close(ignored);
        });
    const auto timer = std::make_shared<std::optional<net::deadline_queue::ticket>>(timeout);
    ++totals_.connections;
    job->connecting->async_connect(where, [this, job, timer, socket = job->connecting,
                                           where](const boost::system::error_code& failed) {
        if (socket->is_open()) {
            deadlines_.remove(**timer);
        }
        job->connecting.reset();
        if (!jobs_.contains(job->id)) {
            return; // cancelled meanwhile
        }
        const bool has_moved = !target_ || target_->where != where;
        if (failed || !socket->is_open() || has_moved) {
            down_until_ = has_moved ? down_until_ : runtime_clock::now() + down_pause;
            finish(job,
                   make_failure(execution::not_run, errc::target_lost, step::connect, node_id_),
                   admission::finish::failed);
            return;
        }
        const auto link = std::make_shared<net::http_link>(std::move(*socket), max_answer_bytes);
        links_.emplace(link.get(), link);
        link->start([this](net::http_link& lost) {
            std::erase_if(idle_, [&lost](const auto& each) { return each.get() == &lost; });
            links_.erase(&lost);
        });
        send(job, link);
    });
}

net::request target_port::make_message(const job& job) const {
    auto message = job.request.message;
    const auto left =
        std::chrono::duration_cast<milliseconds>(job.request.deadline - runtime_clock::now());
    auto& fields = message.fields;
    fields.push_back({names_.request_id, job.request.id});
    fields.push_back(
        {names_.time_left_ms, std::to_string(std::max<milliseconds::rep>(1, left.count()))});
    fields.push_back({names_.target_id, job.target_id});
    fields.push_back({names_.caller, job.request.caller});
    return message;
}

void target_port::send(const job_ptr& job, const link_ptr& link) {
    job->link = link;
    job->sent = true;
    running_.erase(job->request.id); // the key must view the job that is found by it
    running_.emplace(job->request.id, job.get());
    ++totals_.sent;
    link->exchange(make_message(*job), {names_.request_id, job->request.id},
                   [this, job](net::exchange_result result) { on_answer(job, std::move(result)); });
}

void target_port::on_answer(const job_ptr& job, net::exchange_result result) {
    if (const auto link = std::exchange(job->link, nullptr); link && link->is_idle()) {
        idle_.push_back(link);
    }
    auto answer = interpret(*job, std::move(result));
    auto how = admission::finish::answered;
    if (answer.result == execution::not_run) {
        how = admission::finish::shed;
    } else if (answer.result == execution::unknown) {
        how = admission::finish::failed;
    }
    finish(job, std::move(answer), how);
}

relay_answer target_port::interpret(const job& job, net::exchange_result result) const {
    if (result.code) {
        const auto cause = static_cast<errc>(result.code.value());
        return make_failure(execution::unknown, cause, step::target, node_id_);
    }
    const auto& fields = result.answer.fields;
    const int status = result.answer.status;
    const bool is_shed = !net::find_header(fields, names_.not_executed).empty();
    if (is_shed || status == status_misdirected) {
        const auto cause = status == status_misdirected ? errc::no_target : errc::target_shed;
        auto refused = make_failure(execution::not_run, cause, step::target, node_id_);
        refused.retry_after = refusal_wait;
        return refused;
    }
    const bool is_success = status >= status_success && status < first_failure_status;
    const bool is_signed = !net::find_header(fields, names_.signature).empty();
    const bool is_encoded = !net::find_header(fields, "content-encoding").empty();
    if (is_success && (!is_signed || is_encoded)) {
        return make_failure(execution::unknown, errc::bad_answer, step::target, node_id_);
    }
    (void)job;
    relay_answer answer;
    answer.result = execution::answered;
    answer.message = std::move(result.answer);
    return answer;
}

void target_port::finish(const job_ptr& job, relay_answer answer, admission::finish how) {
    if (jobs_.erase(job->id) == 0) {
        return;
    }
    if (job->deadline) {
        deadlines_.remove(*job->deadline);
        job->deadline.reset();
    }
    forget(*job);
    leave_route(*job);
    const auto decisions = controller_->end(job->id, how, runtime_clock::now());
    answer.reached_target = job->sent;
    answer.load = load(job->request.route);
    if (answer.result != execution::answered) {
        log_failure(job->request, answer);
    }
    if (job->done) {
        job->done(std::move(answer));
    }
    apply(decisions);
}

void target_port::forget(const job& gone) {
    const auto found = running_.find(gone.request.id);
    if (found != running_.end() && found->second == &gone) {
        running_.erase(found);
    }
}

const relay_request* target_port::find_running(std::string_view request_id) const {
    const auto found = running_.find(request_id);
    return found == running_.end() ? nullptr : &found->second->request;
}

void target_port::on_deadline(const job_ptr& job) {
    if (!jobs_.contains(job->id)) {
        return;
    }
    if (!job->admitted) {
        controller_->cancel(job->id);
        refuse(job->id, errc::deadline_passed, duration(0));
        return;
    }
    if (const auto link = std::exchange(job->link, nullptr)) {
        link->give_up();
    }
    const auto proof = job->sent ? execution::unknown : execution::not_run;
    finish(job, make_failure(proof, errc::deadline_passed, step::target, node_id_),
           admission::finish::failed);
}

void target_port::cancel(ticket which) {
    const auto found = jobs_.find(which);
    if (found == jobs_.end()) {
        return;
    }
    const job_ptr job = found->second;
    job->done = nullptr;
    if (!job->admitted) {
        controller_->cancel(which);
        jobs_.erase(which);
        leave_route(*job);
        if (job->deadline) {
            deadlines_.remove(*job->deadline);
        }
        return;
    }
    if (job->sent && !job->request.repeatable) {
        return; // it may be half done: let it finish
    }
    if (job->sent && controller_->service_time() < short_service_time) {
        finish_abandoned(job);
        return;
    }
    if (const auto link = std::exchange(job->link, nullptr)) {
        link->give_up();
    }
    finish(job, make_failure(execution::unknown, errc::cancelled, step::target, node_id_),
           admission::finish::failed);
}

void target_port::finish_abandoned(const job_ptr& job) {
    if (job->deadline) {
        deadlines_.remove(*job->deadline);
    }
    const auto latest = std::min(job->request.deadline, runtime_clock::now() + abandoned_time);
    job->deadline = deadlines_.add(latest, [this, job] {
        job->deadline.reset();
        on_deadline(job);
    });
}

void target_port::on_window() {
    if (controller_) {
        apply(controller_->on_window(runtime_clock::now()));
        log_level();
    }
    for (auto& [name, route] : routes_) {
        route.limit.on_window(route.goal, runtime_clock::now());
    }
}

void target_port::log_failure(const relay_request& request, const relay_answer& answer) {
    const auto now = runtime_clock::now();
    if (!failure_lines_.take(now)) {
        return;
    }
    boost::json::object details{
        {"request", request.id},
        {"route", request.route},
        {"importance", request.importance},
        {"under_way", request.under_way},
        {"cause", answer.failure.code.message()},
        {"step", to_string(answer.failure.where)},
        {"execution", to_string(answer.result)},
        {"left_ms", std::chrono::duration<double, std::milli>(request.deadline - now).count()},
        {"target", target_ ? target_->id : ""}};
    if (controller_) {
        details["at_work"] = controller_->in_flight();
        details["waiting"] = controller_->waiting();
        details["limit"] = controller_->limit();
        details["level"] = controller_->level();
    }
    logging::log_line(logging::severity::warning, "no answer of the target", std::move(details));
}

void target_port::log_level() {
    const auto level = controller_->level();
    const bool opens = level == admission::open_level && logged_level_ != level;
    if (!opens && std::abs(level - logged_level_) < logged_level_step) {
        return;
    }
    logging::log_line(
        logging::severity::info, "admission level moved",
        {{"from", logged_level_},
         {"to", level},
         {"limit", controller_->limit()},
         {"at_work", controller_->in_flight()},
         {"waiting", controller_->waiting()},
         {"service_ms",
          std::chrono::duration<double, std::milli>(controller_->service_time()).count()}});
    logged_level_ = level;
}

void target_port::close_idle() {
    const auto now = runtime_clock::now();
    const auto is_old = [now](const link_ptr& link) {
        const auto lifetime = link->idle_limit().value_or(unannounced_lifetime);
        return now - link->idle_since() > lifetime * idle_use_percent / 100;
    };
    std::vector<link_ptr> closing;
    std::ranges::copy_if(idle_, std::back_inserter(closing), is_old);
    std::erase_if(idle_, is_old);
    for (const auto& link : closing) {
        links_.erase(link.get());
        link->give_up();
    }
}

} // namespace lavenderhoist::relay
