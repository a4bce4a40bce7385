#include "lavenderhoist/admission/controller.hpp"

#include <algorithm>

namespace lavenderhoist::admission {
namespace {

constexpr int queue_factor = 4;     // the queue holds so many times what may run
constexpr int patience_divisor = 8; // a new request waits for this part of its time at most

/** Refusing work under way wastes what was done for it: it may wait for this part of its time. */
constexpr int under_way_patience_divisor = 2;
constexpr std::size_t least_queue_capacity = 4;
constexpr double service_time_weight = 0.05;
constexpr duration least_wanted_wait = std::chrono::milliseconds(20);
constexpr double most_fill = 1.05;
constexpr double least_fill = 0.7;
constexpr double fill_per_wait =
    0.1; // less, for each wanted wait that the longest one exceeds it by
constexpr duration retry_base = std::chrono::milliseconds(1'000);

} // namespace

controller::controller(int slots) : limit_(slots) {}

std::vector<decision> controller::on_arrival(const request_info& request, time_point now) {
    std::vector<decision> out;
    ++offered_;
    levels_.on_arrival(request.importance);
    if (request.deadline <= now + service_time_ / 2) {
        out.emplace_back(make_refusal(request.id, errc::deadline_passed));
        return out;
    }
    if (in_flight() < limit() && queue_.size() == 0) {
        running_.emplace(request.id, running{now});
        limit_.on_finished(in_flight());
        out.emplace_back(admitted{request.id});
        return out;
    }
    enqueue(request, now, out);
    return out;
}

void controller::enqueue(const request_info& request, time_point now, std::vector<decision>& out) {
    const auto wait = expected_wait(queue_.ahead_of(request, now));
    const auto patience = (request.deadline - now) /
                          (request.is_nested ? under_way_patience_divisor : patience_divisor);
    if (wait > patience || now + wait + service_time_ > request.deadline) {
        out.emplace_back(make_refusal(request.id, errc::overloaded));
        return;
    }
    if (queue_.size() >= queue_capacity() && !queue_.precedes_last(request, now)) {
        out.emplace_back(make_refusal(request.id, errc::queue_full));
        return;
    }
    // Others may overtake it; it is given up long before its caller would give up.
    auto waiting = request;
    waiting.deadline = std::min(request.deadline, now + patience * 2 + service_time_ / 2);
    queue_.push(waiting, now);
    out.emplace_back(queued{request.id});
    refuse_surplus(out);
}

std::vector<decision> controller::on_end(std::uint64_t id, completion how, time_point now) {
    std::vector<decision> out;
    const auto found = running_.find(id);
    if (found == running_.end()) {
        return out;
    }
    const auto spent = now - found->second.since;
    limit_.on_finished(in_flight());
    limit_.on_ended();
    running_.erase(found);
    if (how == completion::shed) {
        limit_.on_shed(in_flight());
        ++shed_;
    }
    if (how == completion::answered) {
        ++finished_;
        note_service_time(spent);
    }
    refuse_hopeless(now, out);
    start_waiting(now, out);
    return out;
}

bool controller::on_cancel(std::uint64_t id) {
    return queue_.remove(id);
}

std::vector<decision> controller::on_window(time_point now) {
    std::vector<decision> out;
    const int capacity =
        service_time_.count() <= 0
            ? 0
            : static_cast<int>(static_cast<double>(limit()) * window_length / service_time_);
    level_estimator::window seen{finished_, capacity, refused_ > 0, {}};
    // By rank: that reads wait long behind orders is no reason to hold back orders.
    for (std::size_t rank = 0; rank < longest_waits_.size(); ++rank) {
        seen.overloaded = seen.overloaded || longest_waits_[rank] > wanted_wait();
        seen.fill[rank] = wanted_fill(longest_waits_[rank]);
    }
    levels_.on_window(seen);
    limit_.on_window();
    const bool is_saturated = queue_.size() > 0 && in_flight() >= limit();
    fill_.on_window(finished_, is_saturated && was_saturated_);
    was_saturated_ = is_saturated;
    record_window(seen);
    offered_ = 0;
    finished_ = 0;
    shed_ = 0;
    refused_ = 0;
    longest_waits_.fill(duration(0));
    refuse_hopeless(now, out);
    start_waiting(now, out);
    return out;
}

void controller::record_window(const level_estimator::window& seen) noexcept {
    last_window_ = {.offered = offered_,
                    .finished = finished_,
                    .shed = shed_,
                    .refused = refused_,
                    .capacity = seen.capacity,
                    .limit = limit(),
                    .learnt_limit = limit_.value(),
                    .in_flight = in_flight(),
                    .waiting = waiting(),
                    .max_wait = *std::ranges::max_element(longest_waits_),
                    .overloaded = seen.overloaded,
                    .level = level()};
}

void controller::start_waiting(time_point now, std::vector<decision>& out) {
    while (in_flight() < limit()) {
        const auto next = queue_.pop();
        if (!next) {
            return;
        }
        note_wait(*next, now);
        running_.emplace(next->request.id, running{now});
        out.emplace_back(admitted{next->request.id});
    }
}

void controller::refuse_hopeless(time_point now, std::vector<decision>& out) {
    for (const auto& gone : queue_.take_expired(now + service_time_ / 2)) {
        note_wait(gone, now);
        out.emplace_back(make_refusal(gone.request.id, errc::deadline_passed));
    }
    refuse_surplus(out);
}

void controller::refuse_surplus(std::vector<decision>& out) {
    while (queue_.size() > queue_capacity()) {
        const auto id = queue_.last()->request.id;
        queue_.remove(id);
        out.emplace_back(make_refusal(id, errc::queue_full));
    }
}

void controller::note_service_time(duration spent) noexcept {
    if (service_time_.count() == 0) {
        service_time_ = spent;
        return;
    }
    const auto delta = static_cast<double>((spent - service_time_).count());
    service_time_ += duration(static_cast<duration::rep>(delta * service_time_weight));
}

duration controller::expected_wait(std::size_t ahead) const noexcept {
    const auto turns = static_cast<duration::rep>(ahead + 1);
    return service_time_ * turns / std::max(1, limit());
}

duration controller::wanted_wait() const noexcept {
    return std::max(least_wanted_wait, service_time_ / 2);
}

void controller::note_wait(const wait_queue::entry& waited, time_point now) noexcept {
    const auto rank = std::clamp(rank_of(waited.request.importance), 0, ranks - 1);
    auto& longest = longest_waits_[static_cast<std::size_t>(rank)];
    longest = std::max(longest, now - waited.since);
}

float controller::wanted_fill(duration longest_wait) const noexcept {
    // A short queue keeps the slots full when arrivals fluctuate; a long one only makes callers
    // wait, and work upstream is wasted on what it refuses in the end.
    const auto excess = static_cast<double>((longest_wait - wanted_wait()).count()) /
                        static_cast<double>(wanted_wait().count());
    return static_cast<float>(
        std::clamp(most_fill - fill_per_wait * excess, least_fill, most_fill));
}

std::size_t controller::queue_capacity() const noexcept {
    return std::max(least_queue_capacity, static_cast<std::size_t>(limit() * queue_factor));
}

refused controller::make_refusal(std::uint64_t id, errc reason) {
    if (reason != errc::deadline_passed) {
        ++refused_;
    }
    return {id, reason, retry_base};
}

} // namespace lavenderhoist::admission
