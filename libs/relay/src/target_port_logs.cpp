#include "lavenderhoist/relay/internal/target_job.hpp"

#include "lavenderhoist/logging/log.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <cstdlib>
#include <utility>

namespace lavenderhoist::relay {

namespace {

/** Smaller changes of the admission level are not logged. */
constexpr admission::priority logged_level_step = admission::cohorts / 4;

} // namespace

void target_port::log_load() {
    auto line = load_log_.add(controller_->last_window());
    if (!line) {
        return;
    }
    (*line)["service_ms"] =
        std::chrono::duration<double, std::milli>(controller_->service_time()).count();
    (*line)["ramp"] = admission::to_string(controller_->ramp_phase());
    (*line)["sent"] =
        totals_.sent_requests - std::exchange(logged_sent_requests_, totals_.sent_requests);
    if (notice_.rate_limit) {
        (*line)["announced_per_second"] = *notice_.rate_limit;
    }
    boost::json::object run_times;
    for (const auto& [name, run_time] : run_times_) {
        run_times[name] = std::chrono::duration<double, std::milli>(run_time).count();
    }
    (*line)["run_ms"] = std::move(run_times);
    boost::json::array routes;
    for (const auto& [name, route] : routes_) {
        boost::json::object one{
            {"route", name}, {"limit", route.limit.value()}, {"at_work", route.limit.in_flight()}};
        if (const auto below = level_below(name)) {
            one["level_below"] = *below;
        }
        routes.emplace_back(std::move(one));
    }
    (*line)["routes"] = std::move(routes);
    logging::log_line(logging::severity::info, "target load", std::move(*line));
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
        {"under_way", request.is_nested},
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

} // namespace lavenderhoist::relay
