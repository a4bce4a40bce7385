#include "lavenderhoist/relay/internal/target_job.hpp"

#include "lavenderhoist/logging/log.hpp"

#include <boost/json/object.hpp>

#include <algorithm>
#include <utility>

namespace lavenderhoist::relay {

namespace {

/** Least time until the next request is started by the rate limit: several at once are cheaper. */
constexpr duration min_rate_step = std::chrono::milliseconds(2);

} // namespace

void target_port::on_notice(const job& job, const target_notice& notice) {
    announced_limit_.on_answer(notice, job.sent_at, runtime_clock::now());
    apply_rate_limit();
    if (notice.is_leaving && !std::exchange(has_said_leaving_, true)) {
        refuse_waiting(errc::draining);
        if (departure_handler_) {
            departure_handler_(target_->id, target_->started_at_ms);
        }
    }
    if (notice == notice_) {
        return;
    }
    boost::json::object details{{"target", target_ ? target_->id : ""},
                                {"leaving", notice.is_leaving},
                                {"malformed_rate", notice.has_malformed_rate},
                                {"sent_requests", totals_.sent_requests}};
    if (notice.rate_limit) {
        details["requests_per_second"] = *notice.rate_limit;
    }
    logging::log_line(logging::severity::info, "target's notice changed", std::move(details));
    notice_ = notice;
}

void target_port::apply_rate_limit() {
    if (!controller_ || announced_limit_.per_second() == applied_rate_limit_) {
        return;
    }
    applied_rate_limit_ = announced_limit_.per_second();
    apply(controller_->limit_rate(applied_rate_limit_, runtime_clock::now()));
    schedule_rate_time();
}

void target_port::schedule_rate_time() {
    const auto next = controller_->next_rate_time();
    if (rate_timer_ || next == time_point::max()) {
        return;
    }
    const auto when = std::max(next, runtime_clock::now() + min_rate_step);
    rate_timer_ = deadlines_.add(when, [this] {
        rate_timer_.reset();
        apply(controller_->on_rate_time(runtime_clock::now()));
        schedule_rate_time();
    });
}

} // namespace lavenderhoist::relay
