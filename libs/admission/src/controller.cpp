#include "lavenderhoist/admission/controller.hpp"

#include <algorithm>
#include <cmath>

namespace lavenderhoist::admission {
namespace {

constexpr int queue_capacity_factor = 4; // on the concurrency limit

/** A new request may wait for at most this part of its remaining time. */
constexpr int max_wait_divisor = 8;

/** The part for a nested call: refusing it wastes the work already done for its request. */
constexpr int nested_max_wait_divisor = 2;
constexpr std::size_t min_queue_capacity = 4;
constexpr double service_time_weight = 0.05; // of the latest request in the mean service time
constexpr duration min_wait_objective = std::chrono::milliseconds(20);
constexpr double max_utilisation = 1.05;
constexpr double min_utilisation = 0.7;

/** Decrease of the desired utilisation for each multiple of the wait objective by which the longest
 * wait exceeds the objective. */
constexpr double utilisation_decrease = 0.1;
constexpr duration refusal_retry_after = std::chrono::milliseconds(1'000);

} // namespace

controller::controller(int slots) : limit_(slots) {}

std::vector<decision> controller::on_arrival(const request_info& request, time_point now) {
    std::vector<decision> decisions;
    ++arrived_requests_;
    levels_.on_arrival(request.importance);
    if (request.deadline <= now + service_time_ / 2) {
        decisions.emplace_back(make_refusal(request.id, errc::deadline_passed));
        return decisions;
    }
    if (queue_.size() == 0 && can_start(now)) {
        start(request.id, now);
        limit_.record_in_flight(in_flight());
        decisions.emplace_back(admitted{request.id});
        return decisions;
    }
    enqueue(request, now, decisions);
    return decisions;
}

void controller::start(std::uint64_t id, time_point now) {
    rate_.on_start(now);
    running_.emplace(id, running{now});
}

std::vector<decision> controller::limit_rate(std::optional<double> per_second, time_point now) {
    rate_.set(per_second, now);
    return on_rate_time(now);
}

time_point controller::next_rate_time() const noexcept {
    const bool waits_for_rate = queue_.size() > 0 && in_flight() < limit();
    return waits_for_rate ? rate_.next_start() : time_point::max();
}

std::vector<decision> controller::on_rate_time(time_point now) {
    std::vector<decision> decisions;
    refuse_expired(now, decisions);
    admit_queued(now, decisions);
    return decisions;
}

int controller::rate_backlog(time_point now) const noexcept {
    return rate_.per_second() ? waiting() + static_cast<int>(std::ceil(rate_.backlog(now))) : 0;
}

void controller::enqueue(const request_info& request, time_point now,
                         std::vector<decision>& decisions) {
    const auto wait = expected_wait(queue_.count_ahead(request, now), now);
    const auto max_wait =
        (request.deadline - now) / (request.is_nested ? nested_max_wait_divisor : max_wait_divisor);
    if (wait > max_wait || now + wait + service_time_ > request.deadline) {
        decisions.emplace_back(make_refusal(request.id, errc::overloaded));
        return;
    }
    if (queue_.size() >= queue_capacity() && !queue_.is_before_last(request, now)) {
        decisions.emplace_back(make_refusal(request.id, errc::queue_full));
        return;
    }
    // Later requests may overtake it, so its wait may exceed the estimate. It is refused after
    // twice the maximum wait; for a new request, that is long before its caller's deadline.
    auto waiting = request;
    waiting.deadline = std::min(request.deadline, now + max_wait * 2 + service_time_ / 2);
    queue_.push(waiting, now);
    decisions.emplace_back(queued{request.id});
    refuse_overflow(decisions);
}

std::vector<decision> controller::on_end(std::uint64_t id, completion how, time_point now) {
    std::vector<decision> decisions;
    const auto found = running_.find(id);
    if (found == running_.end()) {
        return decisions;
    }
    const auto time_in_slot = now - found->second.started_at;
    limit_.record_in_flight(in_flight());
    limit_.on_ended();
    running_.erase(found);
    if (how == completion::shed) {
        limit_.on_shed(in_flight());
        ++shed_requests_;
    }
    if (how == completion::answered) {
        ++answered_requests_;
        limit_.on_answered(time_in_slot, in_flight() + 1);
        record_service_time(time_in_slot);
    }
    refuse_expired(now, decisions);
    admit_queued(now, decisions);
    return decisions;
}

bool controller::on_cancel(std::uint64_t id) {
    return queue_.remove(id);
}

std::vector<decision> controller::on_window(time_point now) {
    std::vector<decision> decisions;
    const int capacity =
        service_time_.count() <= 0
            ? 0
            : static_cast<int>(static_cast<double>(limit()) * window_length / service_time_);
    level_estimator::window seen{answered_requests_, capacity, refused_requests_ > 0, {}, {}};
    if (const auto per_second = rate_.per_second()) {
        const auto per_window = *per_second * std::chrono::duration<double>(window_length).count();
        seen.max_capacity = static_cast<float>(per_window);
    }
    // Evaluated for each rank: a long wait of reads behind orders is no reason to throttle orders.
    for (std::size_t rank = 0; rank < max_waits_.size(); ++rank) {
        seen.overloaded = seen.overloaded || max_waits_[rank] > wait_objective();
        seen.max_utilisation[rank] = desired_utilisation(max_waits_[rank]);
    }
    levels_.on_window(seen);
    limit_.on_window();
    const bool is_saturated = queue_.size() > 0 && in_flight() >= limit();
    tuner_.on_window(answered_requests_, is_saturated && was_saturated_);
    was_saturated_ = is_saturated;
    record_window(seen);
    arrived_requests_ = 0;
    answered_requests_ = 0;
    shed_requests_ = 0;
    refused_requests_ = 0;
    max_waits_.fill(duration(0));
    refuse_expired(now, decisions);
    admit_queued(now, decisions);
    return decisions;
}

void controller::record_window(const level_estimator::window& seen) noexcept {
    last_window_ = {.offered = arrived_requests_,
                    .finished = answered_requests_,
                    .shed = shed_requests_,
                    .refused = refused_requests_,
                    .capacity = seen.capacity,
                    .limit = limit(),
                    .learnt_limit = limit_.value(),
                    .in_flight = in_flight(),
                    .waiting = waiting(),
                    .max_wait = *std::ranges::max_element(max_waits_),
                    .overloaded = seen.overloaded,
                    .level = level()};
}

void controller::admit_queued(time_point now, std::vector<decision>& decisions) {
    while (can_start(now)) {
        const auto next = queue_.pop();
        if (!next) {
            return;
        }
        record_wait(*next, now);
        start(next->request.id, now);
        decisions.emplace_back(admitted{next->request.id});
    }
}

void controller::refuse_expired(time_point now, std::vector<decision>& decisions) {
    for (const auto& expired : queue_.take_expired(now + service_time_ / 2)) {
        record_wait(expired, now);
        decisions.emplace_back(make_refusal(expired.request.id, errc::deadline_passed));
    }
    refuse_overflow(decisions);
}

void controller::refuse_overflow(std::vector<decision>& decisions) {
    while (queue_.size() > queue_capacity()) {
        const auto id = queue_.last()->request.id;
        queue_.remove(id);
        decisions.emplace_back(make_refusal(id, errc::queue_full));
    }
}

void controller::record_service_time(duration time_in_slot) noexcept {
    if (service_time_.count() == 0) {
        service_time_ = time_in_slot;
        return;
    }
    const auto delta = static_cast<double>((time_in_slot - service_time_).count());
    service_time_ += duration(static_cast<duration::rep>(delta * service_time_weight));
}

duration controller::expected_wait(std::size_t ahead, time_point now) const noexcept {
    const auto turns = static_cast<duration::rep>(ahead + 1);
    return std::max(service_time_ * turns / std::max(1, limit()), rate_.wait_of(ahead + 1, now));
}

duration controller::wait_objective() const noexcept {
    duration turn(0); // of a request, if the rate limit spaces them out
    if (const auto per_second = rate_.per_second()) {
        turn = std::chrono::duration_cast<duration>(std::chrono::duration<double>(1 / *per_second));
    }
    return std::max({min_wait_objective, service_time_ / 2, turn * 2});
}

void controller::record_wait(const wait_queue::entry& entry, time_point now) noexcept {
    const auto rank = std::clamp(rank_of(entry.request.importance), 0, ranks - 1);
    auto& max_wait = max_waits_[static_cast<std::size_t>(rank)];
    max_wait = std::max(max_wait, now - entry.queued_at);
}

float controller::desired_utilisation(duration max_wait) const noexcept {
    // A short queue keeps the slots in use when arrivals fluctuate. A long queue only adds delay,
    // and wastes the work done upstream for the requests that it refuses in the end.
    const auto excess = static_cast<double>((max_wait - wait_objective()).count()) /
                        static_cast<double>(wait_objective().count());
    return static_cast<float>(std::clamp(max_utilisation - utilisation_decrease * excess,
                                         min_utilisation, max_utilisation));
}

std::size_t controller::queue_capacity() const noexcept {
    return std::max(min_queue_capacity, static_cast<std::size_t>(limit() * queue_capacity_factor));
}

refused controller::make_refusal(std::uint64_t id, errc reason) {
    if (reason != errc::deadline_passed) {
        ++refused_requests_;
    }
    return {id, reason, refusal_retry_after};
}

} // namespace lavenderhoist::admission
