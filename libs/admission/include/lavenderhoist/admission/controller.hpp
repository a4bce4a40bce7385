#pragma once

#include "lavenderhoist/admission/concurrency_limit.hpp"
#include "lavenderhoist/admission/decision.hpp"
#include "lavenderhoist/admission/level_estimator.hpp"
#include "lavenderhoist/admission/request_info.hpp"
#include "lavenderhoist/admission/utilisation_tuner.hpp"
#include "lavenderhoist/admission/wait_queue.hpp"
#include "lavenderhoist/admission/window_stats.hpp"

#include <algorithm>
#include <array>
#include <unordered_map>
#include <vector>

namespace lavenderhoist::admission {

/** \brief How a request that was admitted has ended. */
enum class completion : std::uint8_t {
    answered, ///< The target answered in full.
    shed,     ///< The target refused it in the agreed way.
    failed,   ///< Timed out, was cancelled or lost its connection.
};

/**
 * \brief Decides which requests run on a target, which wait and which are refused.
 *
 * A pure state machine: time comes in with each call and decisions go out. Invariants: never more
 * than limit() requests run; no request waits while a slot is free; a refused or finished request
 * leaves no state.
 */
class controller {
public:
    explicit controller(int slots);

    /**
     * \brief A request has arrived. Precondition: its id is not held already.
     * \returns the decision on it, and the refusal of the one that it displaced from the queue.
     */
    std::vector<decision> on_arrival(const request_info& request, time_point now);

    /** \brief An admitted request has ended. \returns decisions on requests that waited. */
    std::vector<decision> on_end(std::uint64_t id, completion how, time_point now);

    /** \brief The caller of a waiting request has gone. \returns true if it was waiting. */
    bool on_cancel(std::uint64_t id);

    /** \brief To be called every `window_length`. \returns decisions on requests that waited. */
    std::vector<decision> on_window(time_point now);

    /** \brief The target was restarted. \param cold how much longer it is slow, if that is known.
     */
    void on_restart(duration cold = duration(0)) noexcept {
        limit_.restart();
        fill_.hold(static_cast<int>(cold / window_length));
    }

    /** \brief The target has been running for a while. */
    void assume_warm() noexcept { limit_.assume_warm(); }

    /** \brief Takes over a changed inventory. */
    void resize(int slots) noexcept { limit_.resize(slots); }

    int limit() const noexcept { return std::min(limit_.value(), fill_.bound(limit_.slots())); }
    int in_flight() const noexcept { return static_cast<int>(running_.size()); }
    int waiting() const noexcept { return static_cast<int>(queue_.size()); }

    /** \brief The admission level to tell callers. */
    priority level() const noexcept { return levels_.level(); }

    /** \brief What the window that ended last saw. */
    const window_stats& last_window() const noexcept { return last_window_; }

    /** \brief Mean time in a slot, smoothed. */
    duration service_time() const noexcept { return service_time_; }

    static constexpr duration window_length = std::chrono::milliseconds(100);

private:
    struct running {
        time_point since;
    };

    void enqueue(const request_info& request, time_point now, std::vector<decision>& out);
    void start_waiting(time_point now, std::vector<decision>& out);
    void refuse_hopeless(time_point now, std::vector<decision>& out);
    void refuse_surplus(std::vector<decision>& out);
    void record_window(const level_estimator::window& seen) noexcept;
    void note_service_time(duration spent) noexcept;
    duration wanted_wait() const noexcept;
    float wanted_fill(duration longest_wait) const noexcept;
    void note_wait(const wait_queue::entry& waited, time_point now) noexcept;
    duration expected_wait(std::size_t ahead) const noexcept;
    std::size_t queue_capacity() const noexcept;
    refused make_refusal(std::uint64_t id, errc reason);

    concurrency_limit limit_;
    utilisation_tuner fill_;
    bool was_saturated_{false}; ///< At the end of the last window.
    wait_queue queue_;
    level_estimator levels_;
    std::unordered_map<std::uint64_t, running> running_;
    duration service_time_{0};
    int offered_{0};
    int finished_{0};
    int shed_{0};
    int refused_{0};
    window_stats last_window_;
    std::array<duration, ranks> longest_waits_{}; // of this window, by rank
};

} // namespace lavenderhoist::admission
