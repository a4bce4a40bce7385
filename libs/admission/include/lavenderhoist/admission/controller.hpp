#pragma once

#include "lavenderhoist/admission/concurrency_limit.hpp"
#include "lavenderhoist/admission/decision.hpp"
#include "lavenderhoist/admission/level_estimator.hpp"
#include "lavenderhoist/admission/rate_limiter.hpp"
#include "lavenderhoist/admission/request_info.hpp"
#include "lavenderhoist/admission/utilisation_tuner.hpp"
#include "lavenderhoist/admission/wait_queue.hpp"
#include "lavenderhoist/admission/window_stats.hpp"

#include <algorithm>
#include <array>
#include <optional>
#include <unordered_map>
#include <vector>

namespace lavenderhoist::admission {

/** \brief How a request that was admitted has ended. */
enum class completion : std::uint8_t {
    answered, ///< The target answered in full.
    shed,     ///< The target refused it with an explicit overload answer.
    failed,   ///< The request timed out, was cancelled or lost its connection.
};

/**
 * \brief Decides which requests a target runs, queues or refuses.
 *
 * A pure state machine: the time is an argument of each call, decisions are returned. Invariants:
 * no request is admitted beyond limit() or the rate limit; no request waits while a slot is free
 * and the rate limit admits it; no state is kept for a refused or finished request.
 */
class controller {
public:
    explicit controller(int slots);

    /**
     * \brief A request has arrived. Precondition: no queued or running request has its id.
     * \returns the decision on it, and the refusal of a request that it displaced from the queue.
     */
    std::vector<decision> on_arrival(const request_info& request, time_point now);

    /** \brief An admitted request has ended. \returns decisions on queued requests. */
    std::vector<decision> on_end(std::uint64_t id, completion how, time_point now);

    /** \brief The caller cancelled a queued request. \returns true if it was queued. */
    bool on_cancel(std::uint64_t id);

    /** \brief To be called every `window_length`. \returns decisions on queued requests. */
    std::vector<decision> on_window(time_point now);

    /** \brief Limits the requests that start per second, or removes that limit. \returns decisions
     * on queued requests. */
    std::vector<decision> limit_rate(std::optional<double> per_second, time_point now);

    /** \brief When on_rate_time() must be called next; `time_point::max()` if no request waits for
     * the rate limit. */
    time_point next_rate_time() const noexcept;

    /** \brief Starts the queued requests that the rate limit now admits. */
    std::vector<decision> on_rate_time(time_point now);

    /** \brief The limit on requests per second; nothing if there is none. */
    std::optional<double> rate_limit() const noexcept { return rate_.per_second(); }

    /** \brief Requests queued, and those started ahead of the rate limit; 0 without a rate limit.
     */
    int rate_backlog(time_point now) const noexcept;

    /** \brief The target was restarted. \param cold rest of its cold start, if known. */
    void on_restart(duration cold = duration(0)) noexcept {
        limit_.restart();
        tuner_.pause(static_cast<int>(cold / window_length));
    }

    /** \brief The target has been running for a while: its limit is all of its slots at once. */
    void assume_warm() noexcept { limit_.assume_warm(); }

    /** \brief Applies a changed number of slots from the inventory. */
    void resize(int slots) noexcept { limit_.resize(slots); }

    int limit() const noexcept { return std::min(limit_.value(), tuner_.limit(limit_.slots())); }
    ramp_up::phase ramp_phase() const noexcept { return limit_.ramp_phase(); }
    int in_flight() const noexcept { return static_cast<int>(running_.size()); }
    int waiting() const noexcept { return static_cast<int>(queue_.size()); }

    /** \brief The admission level for callers. */
    priority level() const noexcept { return levels_.level(); }

    /** \brief The statistics of the last window that ended. */
    const window_stats& last_window() const noexcept { return last_window_; }

    /** \brief Smoothed mean time of a request in its slot. */
    duration service_time() const noexcept { return service_time_; }

    static constexpr duration window_length = std::chrono::milliseconds(100);

private:
    struct running {
        time_point started_at;
    };

    bool can_start(time_point now) const noexcept {
        return in_flight() < limit() && rate_.can_start(now);
    }
    void start(std::uint64_t id, time_point now);
    void enqueue(const request_info& request, time_point now, std::vector<decision>& decisions);
    void admit_queued(time_point now, std::vector<decision>& decisions);
    void refuse_expired(time_point now, std::vector<decision>& decisions);
    void refuse_overflow(std::vector<decision>& decisions);
    void record_window(const level_estimator::window& seen) noexcept;
    void record_service_time(duration time_in_slot) noexcept;
    duration wait_objective() const noexcept;
    float desired_utilisation(duration max_wait) const noexcept;
    void record_wait(const wait_queue::entry& entry, time_point now) noexcept;
    duration expected_wait(std::size_t ahead, time_point now) const noexcept;
    std::size_t queue_capacity() const noexcept;
    refused make_refusal(std::uint64_t id, errc reason);

    concurrency_limit limit_;
    rate_limiter rate_;
    utilisation_tuner tuner_;
    bool was_saturated_{
        false}; ///< Requests were queued and no slot was free at the end of the last window.
    wait_queue queue_;
    level_estimator levels_;
    std::unordered_map<std::uint64_t, running> running_;
    duration service_time_{0};
    int arrived_requests_{0};
    int answered_requests_{0};
    int shed_requests_{0};
    int refused_requests_{0};
    window_stats last_window_;
    std::array<duration, ranks> max_waits_{}; // longest queueing delay in this window, by rank
};

} // namespace lavenderhoist::admission
