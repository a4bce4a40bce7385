#include "lavenderhoist/relay/entry.hpp"

#include "lavenderhoist/core/hash.hpp"
#include "lavenderhoist/logging/log.hpp"
#include "lavenderhoist/relay/attempt_plan.hpp"
#include "lavenderhoist/relay/known_target.hpp"
#include "lavenderhoist/retry/retry_after.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <utility>

namespace lavenderhoist::relay {

namespace {

constexpr int status_bad_request = 400;
constexpr int status_not_found = 404;
constexpr int status_server_error = 500;
constexpr int status_bad_gateway = 502;
constexpr int status_unavailable = 503;
constexpr int status_gateway_timeout = 504;

/** After the deadline the target's node still has to pass on the answer that came just in time. */
constexpr duration answer_grace = std::chrono::milliseconds(80);

/** When callers come back to a node that has no configuration yet. */
constexpr duration no_configuration_wait = std::chrono::milliseconds(300);

/** When callers come back if no target takes their request and no node has named a time. */
constexpr duration refusal_wait = std::chrono::milliseconds(250);

/** Callers come back within this part of the time they have left. */
constexpr int return_divisor = 3;

/** Share of the allowed repeats that is used: calls below a repeat count as repeats as well. */
constexpr double repeat_share = 0.5;

/** A level in force that was heard longer ago is asked for. */
constexpr duration level_age = std::chrono::milliseconds(150);

/** Levels are kept fresh for routes that had a request within this time. */
constexpr duration route_memory = std::chrono::seconds(5);

/** Questions for one route at a time; a service may have many targets. */
constexpr int questions_per_route = 4;

/** Of a service's requests, the share that may be repeated after a target's own failure: many times
 * what targets fail by themselves. More of them fail for a common cause below, and repeating them
 * would multiply the calls to it. */
constexpr double failure_repeat_ratio = 0.01;

/** Log lines a second: enough to explain single requests, bounded under load. */
constexpr double failure_lines_per_second = 10;
constexpr double success_lines_per_second = 0.5;

std::optional<duration> parse_ms(std::string_view text) {
    std::int64_t value = 0;
    const auto* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    if (parsed.ec != std::errc() || parsed.ptr != end || value < 0) {
        return std::nullopt;
    }
    return milliseconds(value);
}

double in_ms(duration length) {
    return std::chrono::duration<double, std::milli>(length).count();
}

std::string in_seconds(duration length) {
    std::array<char, 32> text{};
    const auto count = std::snprintf(text.data(), text.size(), "%.3f",
                                     std::chrono::duration<double>(length).count());
    return {text.data(), static_cast<std::size_t>(count)};
}

std::uint64_t random_seed() {
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

} // namespace

/** A request that has entered here and is not answered yet. */
struct entry::pending {
    std::shared_ptr<net::http_session> session;
    mesh::routing_table_ptr table; ///< Keeps the route alive.
    const mesh::route* route{nullptr};
    relay_request request;
    attempt_plan plan{1, false};
    std::vector<known_target_ptr> tried;
    known_target_ptr sent_to; ///< Of the try under way.
    std::uint64_t tries{0};   ///< Tells the try under way from earlier ones.
    std::function<void()> cancel;
    std::optional<net::deadline_queue::ticket> deadline;
    time_point began;
    relay_answer last_failure;
    std::optional<net::response> own_failure; ///< A target's answer that another may replace.
    bool finished{false};
};

/** A service as this entry knows it. */
struct entry::known_service {
    std::vector<known_target_ptr> targets;
    mesh::repeat_budget budget;
    mesh::repeat_budget failure_budget; ///< Of repeats after a target's own failure.
    std::unordered_map<std::string, time_point> wanted; ///< By route: its last request here.
};

/** The route of calls that the own target makes. */
struct entry::known_callee {
    std::string route;
    std::string service;
    time_point last_call;
};

entry::entry(const entry_settings& settings, const wire_names& names, const view_cell& views,
             target_port& own_target, peer_links& peers, net::deadline_queue& deadlines,
             metrics::recorder& counters)
    : settings_(settings),
      names_(names),
      views_(views),
      own_target_(own_target),
      peers_(peers),
      deadlines_(deadlines),
      counters_(counters),
      random_(random_seed()),
      placement_(random_seed()),
      failure_lines_(failure_lines_per_second),
      success_lines_(success_lines_per_second) {}

entry::~entry() = default;

void entry::refresh() {
    bool is_new = false;
    views_.read([&](const view& present) {
        if (present.generation == generation_) {
            return;
        }
        generation_ = present.generation;
        table_ = present.table;
        is_new = present.hosts != hosts_;
        hosts_ = present.hosts;
    });
    if (is_new) {
        rebuild_targets();
    }
}

mesh::distance entry::distance_to(const mesh::host_record& record) const {
    if (record.id == settings_.node_id) {
        return mesh::distance::own_host;
    }
    return record.data_centre == settings_.data_centre ? mesh::distance::own_data_centre
                                                       : mesh::distance::elsewhere;
}

void entry::rebuild_targets() {
    std::unordered_map<std::string, std::vector<known_target_ptr>> next;
    for (const auto& record : *hosts_) {
        if (record.service.empty()) {
            continue;
        }
        const auto& known = services_[record.service].targets;
        const auto same = std::ranges::find_if(known, [&record](const known_target_ptr& each) {
            const auto& old = each->record();
            return old.id == record.id && old.calls == record.calls &&
                   old.target_id == record.target_id &&
                   old.target_born_ms == record.target_born_ms &&
                   old.node_stopping == record.node_stopping;
        });
        auto kept = same == known.end()
                        ? std::make_shared<known_target>(record, distance_to(record))
                        : *same;
        kept->update(record);
        next[record.service].push_back(std::move(kept));
    }
    for (auto& [name, service] : services_) {
        service.targets = std::move(next[name]);
    }
}

const mesh::caller_limits* entry::limits() {
    refresh();
    return table_ ? &table_->limits() : nullptr;
}

mesh::repeat_budget::limits entry::budget_limits() const {
    const auto nodes = std::max<std::size_t>(1, hosts_ ? hosts_->size() : 1);
    return {settings_.repeat_ratio * repeat_share,
            settings_.repeat_extra * repeat_share / static_cast<double>(nodes),
            settings_.repeat_window};
}

bool entry::take_repeat(const std::string& service) {
    return services_[service].budget.take(runtime_clock::now(), budget_limits());
}

bool entry::take_failure_repeat(const std::string& service) {
    const auto bounds = budget_limits();
    const mesh::repeat_budget::limits own{failure_repeat_ratio, 0, bounds.window};
    auto& known = services_[service];
    return known.failure_budget.take(runtime_clock::now(), own) && take_repeat(service);
}

const std::string& entry::choose_service(const mesh::route& route) {
    int total = 0;
    for (const auto& each : route.destinations) {
        total += each.weight;
    }
    if (total <= 0 || route.destinations.size() == 1) {
        return route.destinations.front().service;
    }
    auto left = static_cast<int>(random_() % static_cast<unsigned>(total));
    for (const auto& each : route.destinations) {
        left -= each.weight;
        if (left < 0) {
            return each.service;
        }
    }
    return route.destinations.back().service;
}

admission::priority entry::lowest_level(const std::string& route, const std::string& service,
                                        time_point now) const {
    const auto found = services_.find(service);
    if (found == services_.end()) {
        return admission::open_level;
    }
    auto lowest = admission::closed_level;
    bool any = false;
    for (const auto& target : found->second.targets) {
        if (!target->takes_work(now)) {
            continue;
        }
        any = true;
        lowest = std::min(lowest, target->level(route, now));
    }
    return any ? lowest : admission::open_level;
}

std::optional<admission::priority> entry::callee_level(const std::string& route) const {
    const auto found = callees_.find(route);
    if (found == callees_.end()) {
        return std::nullopt;
    }
    const auto now = runtime_clock::now();
    std::optional<admission::priority> highest;
    for (const auto& callee : found->second) {
        if (now - callee.last_call < route_memory) {
            highest = std::max(highest.value_or(admission::open_level),
                               lowest_level(callee.route, callee.service, now));
        }
    }
    return highest;
}

void entry::note_call(const std::string& parent_route, const pending& call) {
    auto& callees = callees_[parent_route];
    const auto found = std::ranges::find_if(callees, [&call](const known_callee& each) {
        return each.route == call.route->name && each.service == call.request.service;
    });
    if (found != callees.end()) {
        found->last_call = call.began;
        return;
    }
    std::erase_if(callees, [&call](const known_callee& each) {
        return call.began - each.last_call > route_memory;
    });
    callees.push_back({call.route->name, call.request.service, call.began});
}

void entry::refresh_levels() {
    const auto now = runtime_clock::now();
    for (auto& [name, service] : services_) {
        std::erase_if(service.wanted,
                      [now](const auto& each) { return now - each.second > route_memory; });
        for (const auto& [route, last] : service.wanted) {
            ask_levels(route, service, now);
        }
    }
}

void entry::ask_levels(const std::string& route, known_service& service, time_point now) {
    int asked = 0;
    for (const auto& target : service.targets) {
        if (asked == questions_per_route) {
            return;
        }
        if (target->record().id == settings_.node_id ||
            !target->has_stale_level(route, level_age, now)) {
            continue;
        }
        ++asked;
        peers_.ask_load(target->endpoint(), route, [target, route](const load_report& load) {
            target->on_report(route, load, runtime_clock::now());
        });
    }
}

std::string_view entry::parent_of(std::string_view id) const {
    const auto end =
        names_.parent_separator == 0 ? std::string_view::npos : id.rfind(names_.parent_separator);
    return end == std::string_view::npos ? std::string_view() : id.substr(0, end);
}

entry::pending_ptr entry::accept(const std::shared_ptr<net::http_session>& session,
                                 net::request message) {
    const auto now = runtime_clock::now();
    const std::string id(net::find_header(message.fields, names_.request_id));
    if (!table_) {
        answer_own(session, id, status_unavailable, "no-configuration", no_configuration_wait);
        return nullptr;
    }
    if (id.empty()) {
        answer_own(session, id, status_bad_request, "request id missing", duration(0));
        return nullptr;
    }
    const auto* const route = table_->find(message.host, message.path);
    if (route == nullptr) {
        answer_own(session, id, status_not_found, "unknown-route", duration(0));
        return nullptr;
    }
    auto made = std::make_shared<pending>();
    made->session = session;
    made->table = table_;
    made->route = route;
    made->began = now;
    auto& request = made->request;
    request.id = id;
    const auto left = parse_ms(net::find_header(message.fields, names_.time_left_ms));
    request.deadline = now + std::min<duration>(route->timeout, left.value_or(route->timeout));
    request.objective = std::min(route->objective, route->timeout);
    request.service = choose_service(*route);
    request.caller = settings_.service;
    request.repeatable = route->repeatable;
    // All calls of one chain have the importance of its first request, so that every hop sheds the
    // same chains.
    const auto* const parent = own_target_.find_running(parent_of(id));
    request.route = route->name;
    request.under_way = parent != nullptr;
    if (parent != nullptr) {
        note_call(parent->route, *made);
    }
    if (refusing_ && parent == nullptr) {
        answer_own(session, id, status_unavailable, "draining", refusal_wait);
        return nullptr;
    }
    request.importance = parent != nullptr ? parent->importance
                                           : admission::make_priority(route->rank, stable_hash(id));
    made->plan = attempt_plan(route->attempts, route->repeatable);
    std::erase_if(message.fields, [this](const net::header& field) {
        return field.name == names_.request_id || field.name == names_.time_left_ms ||
               field.name == names_.target_id || field.name == names_.caller ||
               field.name.starts_with("lh-");
    });
    request.message = std::move(message);
    return made;
}

void entry::serve(const std::shared_ptr<net::http_session>& session, net::request message) {
    refresh();
    const auto request = accept(session, std::move(message));
    if (!request) {
        return;
    }
    auto& service = services_[request->request.service];
    service.budget.on_request(request->began, budget_limits());
    service.failure_budget.on_request(request->began, budget_limits());
    service.wanted[request->route->name] = request->began;
    pending_[session.get()] = request;
    request->deadline = deadlines_.add(request->request.deadline + answer_grace, [this, request] {
        request->deadline.reset();
        on_deadline(request);
    });
    place(request);
}

std::vector<entry::known_target_ptr> entry::targets_for(const pending& request, bool stopping_too,
                                                        time_point now) {
    std::vector<known_target_ptr> found;
    for (const auto& target : services_[request.request.service].targets) {
        const bool is_left_out = !target->takes_work(now) ||
                                 (target->is_stopping() && !stopping_too) ||
                                 std::ranges::find(request.tried, target) != request.tried.end();
        if (!is_left_out) {
            found.push_back(target);
        }
    }
    return found;
}

entry::known_target_ptr entry::choose(const pending& request, bool& all_refuse) {
    const auto now = runtime_clock::now();
    // A node that stops serves on for some seconds, for those who know no other.
    auto targets = targets_for(request, false, now);
    if (targets.empty()) {
        targets = targets_for(request, true, now);
    }
    std::vector<mesh::option> options;
    for (const auto& target : targets) {
        options.push_back(target->option(request.route->name, now));
    }
    // Work that has begun elsewhere is not turned away by levels: its cost is already paid.
    const int importance =
        request.request.under_way ? admission::closed_level : request.request.importance;
    const auto index = placement_.choose(options, importance);
    all_refuse = !index && !options.empty();
    return index ? targets[*index] : nullptr;
}

void entry::place(const pending_ptr& request) {
    bool all_refuse = false;
    const auto target = choose(*request, all_refuse);
    if (!target) {
        auto failed = request->last_failure;
        if (request->plan.placements() == 0) {
            failed =
                make_failure(execution::not_run, all_refuse ? errc::refused_early : errc::no_target,
                             step::route, request->request.service);
        }
        give_up(request, failed);
        return;
    }
    try_target(request, target);
}

void entry::try_target(const pending_ptr& request, const known_target_ptr& target) {
    const auto number = ++request->tries;
    request->plan.on_try();
    request->tried.push_back(target);
    request->sent_to = target;
    request->cancel = nullptr;
    target->on_sent();
    auto done = [this, request, target, number](relay_answer answer) {
        if (!request->finished && request->tries == number) {
            on_answer(request, target, std::move(answer));
        }
    };
    std::function<void()> cancel;
    if (target->record().id == settings_.node_id) {
        const auto ticket = own_target_.submit(request->request, std::move(done));
        cancel = [this, ticket] { own_target_.cancel(ticket); };
    } else {
        cancel = peers_.submit(target->endpoint(), target->record().id, request->request,
                               std::move(done));
    }
    if (!request->finished && request->tries == number) {
        request->cancel = std::move(cancel);
    }
}

bool entry::may_eject_for_shedding(const std::string& service, time_point now) const {
    const auto& targets = services_.at(service).targets;
    const auto available = std::ranges::count_if(
        targets, [now](const known_target_ptr& each) { return each->takes_work(now); });
    return available * 2 > static_cast<std::ptrdiff_t>(targets.size()) + 1;
}

void entry::note_health(const std::string& service, known_target& target,
                        const relay_answer& answer, time_point now) {
    const bool is_absent =
        answer.failure.code == errc::peer_lost || answer.failure.code == errc::target_lost ||
        answer.failure.code == errc::no_target || answer.failure.code == errc::draining;
    // Where most targets shed, the few that are left would get everything and be overloaded.
    const bool sheds_alone =
        answer.failure.code == errc::target_shed && may_eject_for_shedding(service, now);
    if (is_absent || sheds_alone) {
        target.health().on_failure(now);
        return;
    }
    target.health().on_answer();
}

bool entry::is_worth_another(const pending& request, const known_target& target,
                             const relay_answer& answer, time_point now) const {
    // Under overload a failure often comes from a refused call, and a repeat would add to the load.
    const bool is_loaded = target.level(request.route->name, now) > admission::open_level ||
                           target.option(request.route->name, now).load > mesh::placement::room;
    return answer.message.status == status_server_error && !is_loaded &&
           request.plan.may_ask_another(request.request.deadline - now);
}

void entry::on_answer(const pending_ptr& request, const known_target_ptr& target,
                      relay_answer answer) {
    const auto now = runtime_clock::now();
    request->sent_to.reset();
    request->cancel = nullptr;
    note_health(request->request.service, *target, answer, now);
    if (answer.load) {
        target->on_report(request->route->name, *answer.load, now);
    }
    const auto next = request->plan.on_answer(answer, request->request.deadline - now);
    switch (next) {
    case next_step::deliver:
        if (is_worth_another(*request, *target, answer, now) &&
            take_failure_repeat(request->request.service)) {
            counters_.count("failure_repeats");
            request->own_failure = std::move(answer.message);
            place(request);
            return;
        }
        deliver(request, std::move(answer.message));
        return;
    case next_step::repeat:
        if (!take_repeat(request->request.service)) {
            give_up(request, answer);
            return;
        }
        [[fallthrough]];
    case next_step::place_again:
        counters_.count(next == next_step::repeat ? "repeats" : "placed_again");
        request->last_failure = std::move(answer);
        place(request);
        return;
    case next_step::give_up:
        give_up(request, answer);
        return;
    }
}

void entry::on_deadline(const pending_ptr& request) {
    if (request->finished) {
        return;
    }
    if (request->cancel) {
        request->cancel();
    }
    if (request->sent_to) {
        request->sent_to->health().on_withdrawn();
    }
    give_up(request, make_failure(request->plan.proven(), errc::deadline_passed, step::entry,
                                  request->request.service));
}

void entry::deliver(const pending_ptr& request, net::response message) {
    const auto now = runtime_clock::now();
    counters_.observe(request->route->name, request->request.caller, outcome::completed,
                      now - request->began);
    if (success_lines_.take(now)) {
        log_end(*request, nullptr, message.status);
    }
    const auto session = request->session;
    finish(request);
    session->answer(message, !stopping_);
}

void entry::give_up(const pending_ptr& request, const relay_answer& last) {
    if (request->own_failure) {
        deliver(request, std::move(*request->own_failure));
        return;
    }
    const auto now = runtime_clock::now();
    const bool has_not_run = request->plan.proven() == execution::not_run;
    const bool is_late = last.failure.code == errc::deadline_passed;
    int status = is_late ? status_gateway_timeout : status_bad_gateway;
    duration retry_after(0);
    if (has_not_run) {
        status = status_unavailable;
        const auto hint = last.retry_after.count() > 0 ? last.retry_after : refusal_wait;
        retry_after = std::min(retry::spread_retry_after(hint, stable_hash(request->request.id)),
                               (request->request.deadline - now) / return_divisor);
    }
    counters_.observe(request->route->name, request->request.caller,
                      has_not_run ? outcome::not_run : outcome::unknown, now - request->began);
    counters_.count("given_up." + last.failure.code.message());
    if (failure_lines_.take(now)) {
        log_end(*request, &last, status);
    }
    const auto session = request->session;
    const auto id = request->request.id;
    finish(request);
    answer_own(session, id, status, last.failure.code.message(), retry_after);
}

void entry::finish(const pending_ptr& request) {
    request->finished = true;
    if (request->deadline) {
        deadlines_.remove(*request->deadline);
        request->deadline.reset();
    }
    request->cancel = nullptr;
    pending_.erase(request->session.get());
}

void entry::on_gone(const std::shared_ptr<net::http_session>& session) {
    const auto found = pending_.find(session.get());
    if (found == pending_.end()) {
        return;
    }
    const pending_ptr request = found->second;
    if (request->cancel) {
        request->cancel();
    }
    if (request->sent_to) {
        request->sent_to->health().on_withdrawn();
    }
    counters_.count("callers_gone");
    finish(request);
}

void entry::answer_own(const std::shared_ptr<net::http_session>& session, const std::string& id,
                       int status, std::string_view cause, duration retry_after) {
    net::response message;
    message.status = status;
    message.fields.push_back({"content-type", "application/problem+json"});
    if (!id.empty()) {
        message.fields.push_back({names_.request_id, id});
    }
    if (retry_after.count() > 0) {
        message.fields.push_back({"retry-after", in_seconds(retry_after)});
    }
    message.body = boost::json::serialize(
        boost::json::object{{"title", cause}, {"status", status}, {"node", settings_.node_id}});
    session->answer(message, !stopping_);
}

void entry::log_end(const pending& request, const relay_answer* failed, int status) {
    boost::json::object details{
        {"request", request.request.id},
        {"route", request.route->name},
        {"service", request.request.service},
        {"importance", request.request.importance},
        {"status", status},
        {"ms", in_ms(runtime_clock::now() - request.began)},
        {"tries", request.plan.placements()},
        {"configuration", request.table->version()},
    };
    const auto now = runtime_clock::now();
    details["left_ms"] = in_ms(request.request.deadline - now);
    details["level"] = lowest_level(request.route->name, request.request.service, now);
    if (!request.tried.empty()) {
        const auto& last = *request.tried.back();
        details["target"] = last.record().id;
        details["target_level"] = last.level(request.route->name, now);
        details["target_load"] = last.option(request.route->name, now).load;
        details["report_age_ms"] = in_ms(last.report_age(now));
    }
    if (failed != nullptr) {
        details["cause"] = failed->failure.code.message();
        details["step"] = to_string(failed->failure.where);
        details["peer"] = failed->failure.peer;
        details["execution"] = to_string(request.plan.proven());
    }
    logging::log_line(failed == nullptr ? logging::severity::info : logging::severity::warning,
                      failed == nullptr ? "request answered" : "request given up",
                      std::move(details));
}

void entry::log_suppressed() {
    const auto failures = failure_lines_.take_suppressed();
    const auto successes = success_lines_.take_suppressed();
    if (failures > 0) {
        logging::log_line(logging::severity::info, "lines suppressed",
                          {{"given_up", failures},
                           {"answered", successes},
                           {"queue_full", logging::dropped_lines()}});
    }
}

} // namespace lavenderhoist::relay
