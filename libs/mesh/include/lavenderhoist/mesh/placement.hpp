#pragma once

#include "lavenderhoist/core/clock.hpp"

#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <vector>

namespace lavenderhoist::mesh {

/** \brief Distance from the caller's node to a target, in ascending order of network cost. */
enum class distance : std::uint8_t { local_host, local_data_centre, remote_data_centre };

/** \brief A target that a request could be sent to. */
struct candidate {
    distance distance_to_target{distance::remote_data_centre};
    double load{0};           ///< Requests in flight and queued, divided by the concurrency limit.
    int level{0};             ///< Admission level: requests of lower importance are refused.
    duration service_time{0}; ///< Mean service time; 0 if not known.
    duration run_time{0};     ///< Mean time of a request of the same route; 0 if not known.
};

/**
 * \brief Chooses the target of a request.
 *
 * Prefers the nearest target that is loaded below `max_preferred_load`. If there is none on the
 * local host or in the local data centre, chooses the least loaded target of all, provided that its
 * load is lower by more than `min_load_advantage`: traffic between data centres is expensive, but
 * queueing or refusing a request costs more.
 *
 * Queues are compared by the time that they take: queued requests count in proportion to the
 * target's service time, so that equal queues at targets of unequal speed are unequal loads.
 *
 * If run times are known, targets are compared by the expected time to finish instead: the run time
 * and the expected wait. The least loaded of those that are nearly as fast as the fastest is
 * chosen, so that equal targets are served as without run times. An unloaded local data centre is
 * left only if it has no target below `max_preferred_load`, and any farther target is chosen only
 * if it saves more than `min_time_advantage`.
 */
class placement {
public:
    /** \brief Load below which a target is chosen without comparing it to farther ones. */
    static constexpr double max_preferred_load = 0.85;
    /** \brief Load difference above which a remote target is preferred to a local one. */
    static constexpr double min_load_advantage = 0.25;

    /** \brief Expected times that differ by less than this share are equal: means of a few requests
     * vary by about as much. */
    static constexpr double equal_time_share = 0.2;

    /** \brief Time that a farther target must save: as much of the run time as the load difference
     * `min_load_advantage` takes, which stands for the cost of traffic between data centres, and at
     * least two transfers of 1.4 ms. */
    static constexpr duration min_time_advantage = std::chrono::microseconds(2'800);

    explicit placement(std::uint64_t seed) : random_(seed) {}

    /** \returns the index of a candidate whose level admits `importance`; nothing if there is none.
     */
    std::optional<std::size_t> choose(std::span<const candidate> candidates, int importance);

private:
    void compute_loads(std::span<const candidate> candidates);
    std::optional<std::size_t> least_loaded(std::span<const candidate> candidates, int importance,
                                            distance farthest);

    std::optional<std::size_t> choose_by_time(std::span<const candidate> candidates,
                                              int importance);
    bool compute_times(std::span<const candidate> candidates);
    std::optional<std::size_t> earliest(std::span<const candidate> candidates, int importance,
                                        distance farthest);
    double time_advantage(std::size_t near) const noexcept;

    std::mt19937_64 random_;
    std::vector<double> run_times_;    ///< Of the candidates, in seconds; the mean if not known.
    std::vector<double> finish_times_; ///< Expected, of the candidates, in seconds.
    std::vector<double> loads_;        ///< Of the candidates, with queues weighted by service time.
};

} // namespace lavenderhoist::mesh
