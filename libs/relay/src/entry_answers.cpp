#include "lavenderhoist/relay/internal/entry_state.hpp"

#include "lavenderhoist/core/hash.hpp"
#include "lavenderhoist/logging/log.hpp"
#include "lavenderhoist/retry/retry_after.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

namespace lavenderhoist::relay {

namespace {

constexpr int status_bad_gateway = 502;
constexpr int status_unavailable = 503;
constexpr int status_gateway_timeout = 504;

double in_ms(duration length) {
    return std::chrono::duration<double, std::milli>(length).count();
}

std::string in_seconds(duration length) {
    std::array<char, 32> text{};
    const auto count = std::snprintf(text.data(), text.size(), "%.3f",
                                     std::chrono::duration<double>(length).count());
    return {text.data(), static_cast<std::size_t>(count)};
}

} // namespace

void entry::on_deadline(const pending_ptr& request) {
    if (request->finished) {
        return;
    }
    if (request->cancel) {
        request->cancel();
    }
    if (request->sent_to) {
        request->sent_to->health().on_cancelled();
    }
    fail(request, make_failure(request->plan.proven_execution(), errc::deadline_passed, step::entry,
                               request->request.service));
}

void entry::deliver(const pending_ptr& request, net::response message) {
    const auto now = runtime_clock::now();
    counters_.observe(request->route->name, request->request.caller, outcome::completed,
                      now - request->started_at);
    const bool has_failed = message.status >= first_error_status;
    outcomes_.on_answered(request->route->name, has_failed);
    if (!request->request.is_nested && !has_failed) {
        guaranteed_.on_served(request->route->name, request->is_guaranteed(),
                              request->service_level > admission::open_level);
    }
    if ((has_failed ? failure_lines_ : success_lines_).take(now)) {
        log_end(*request, nullptr, message.status);
    }
    const auto session = request->session;
    finish(request);
    session->answer(std::move(message), !stopping_);
}

void entry::fail(const pending_ptr& request, const relay_answer& last) {
    if (request->failure_answer) {
        deliver(request, std::move(*request->failure_answer));
        return;
    }
    const auto now = runtime_clock::now();
    const bool has_not_run = request->plan.proven_execution() == execution::not_run;
    const bool is_late = last.failure.code == errc::deadline_passed;
    int status = is_late ? status_gateway_timeout : status_bad_gateway;
    duration retry_after(0);
    if (has_not_run) {
        if (request->holder != nullptr) {
            quotas_.on_not_run(request->holder->name, now);
        }
        status = status_unavailable;
        const auto longest = (request->request.deadline - now) / retry_after_divisor;
        const auto hint = last.retry_after.count() > 0 ? last.retry_after : default_retry_after;
        retry_after =
            last.failure.code == errc::quarantined
                ? longest // it will be refused for minutes
                : std::min(retry::spread_retry_after(hint, stable_hash(request->request.id)),
                           longest);
    }
    counters_.observe(request->route->name, request->request.caller,
                      has_not_run ? outcome::not_run : outcome::unknown, now - request->started_at);
    outcomes_.on_unanswered(request->route->name, static_cast<errc>(last.failure.code.value()),
                            has_not_run);
    counters_.count("given_up." + last.failure.code.message());
    if (failure_lines_.take(now)) {
        log_end(*request, &last, status);
    }
    const auto session = request->session;
    const auto id = request->request.id;
    finish(request);
    answer_error(session, id, status, last.failure.code.message(), retry_after);
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

void entry::on_caller_disconnected(const std::shared_ptr<net::http_session>& session) {
    const auto found = pending_.find(session.get());
    if (found == pending_.end()) {
        return;
    }
    const pending_ptr request = found->second;
    if (request->cancel) {
        request->cancel();
    }
    if (request->sent_to) {
        request->sent_to->health().on_cancelled();
    }
    counters_.count("callers_gone");
    finish(request);
}

void entry::answer_error(const std::shared_ptr<net::http_session>& session, const std::string& id,
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
        {"ms", in_ms(runtime_clock::now() - request.started_at)},
        {"tries", request.plan.placements()},
        {"configuration", request.table->version()},
    };
    const auto now = runtime_clock::now();
    details["left_ms"] = in_ms(request.request.deadline - now);
    details["level"] = service_level(request.route->name, request.request.service, now);
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
        details["execution"] = to_string(request.plan.proven_execution());
    }
    const bool is_fine = failed == nullptr && status < first_error_status;
    logging::log_line(is_fine ? logging::severity::info : logging::severity::warning,
                      failed == nullptr ? "request answered" : "request given up",
                      std::move(details));
}

void entry::log_outcomes() {
    auto routes = outcomes_.take();
    if (!routes.empty()) {
        logging::log_line(logging::severity::info, "requests ended",
                          {{"routes", std::move(routes)}});
    }
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
