#include "lavenderhoist/mesh/placement.hpp"

#include <algorithm>
#include <limits>

namespace lavenderhoist::mesh {

namespace {

double in_seconds(duration length) {
    return std::chrono::duration<double>(length).count();
}

/** Expected wait, in service times, times the weight of a queue. Several entries choose by reports
 * of the same age, so that a target that is nearly full is full when their requests arrive: the
 * wait begins below the limit. A queued request also delays those behind it, so that a queue at a
 * fast target counts for more than its length: weighed by 1, near saturation, requests took longer
 * than by load alone. */
constexpr double queue_weight = 8;

double weighted_wait(double load) {
    if (load > 1) {
        return 1 + queue_weight * (load - 1);
    }
    const double squared = load * load;
    return squared * squared * squared * squared; // has the same slope at 1
}

/** Service time of a target, on which the wait depends; its run time if not known. */
double service_time_of(const candidate& target, double run_time) {
    return target.service_time.count() > 0 ? in_seconds(target.service_time) : run_time;
}

/** The expected time without the weight of queues: distances are weighed by it, as by the load. */
double unweighted_time(const candidate& target, double run_time) {
    return run_time + service_time_of(target, run_time) *
                          std::max(0.0, target.load - placement::max_preferred_load);
}

} // namespace

void placement::compute_loads(std::span<const candidate> candidates) {
    duration total{0};
    int known = 0;
    for (const auto& each : candidates) {
        total += each.service_time;
        known += each.service_time.count() > 0 ? 1 : 0;
    }
    const double mean = known == 0 ? 0 : static_cast<double>(total.count()) / known;
    loads_.clear();
    for (const auto& each : candidates) {
        const bool is_comparable = each.load > 1 && each.service_time.count() > 0;
        const double weight =
            is_comparable ? static_cast<double>(each.service_time.count()) / mean : 1;
        loads_.push_back(each.load > 1 ? 1 + (each.load - 1) * weight : each.load);
    }
}

std::optional<std::size_t> placement::least_loaded(std::span<const candidate> candidates,
                                                   int importance, distance farthest) {
    std::optional<std::size_t> best;
    int equals = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const auto& each = candidates[i];
        if (each.distance_to_target > farthest || each.level > importance) {
            continue;
        }
        if (!best || loads_[i] < loads_[*best]) {
            best = i;
            equals = 1;
            continue;
        }
        // Reservoir sampling: equally loaded candidates are equally likely.
        if (loads_[i] == loads_[*best] && random_() % static_cast<unsigned>(++equals) == 0) {
            best = i;
        }
    }
    return best;
}

std::optional<std::size_t> placement::choose(std::span<const candidate> candidates,
                                             int importance) {
    if (compute_times(candidates)) {
        return choose_by_time(candidates, importance);
    }
    compute_loads(candidates);
    for (const auto reach : {distance::local_host, distance::local_data_centre}) {
        const auto near = least_loaded(candidates, importance, reach);
        if (near && loads_[*near] < max_preferred_load) {
            return near;
        }
    }
    const auto near = least_loaded(candidates, importance, distance::local_data_centre);
    const auto any = least_loaded(candidates, importance, distance::remote_data_centre);
    if (near && any && loads_[*near] <= loads_[*any] + min_load_advantage) {
        return near;
    }
    return any;
}

bool placement::compute_times(std::span<const candidate> candidates) {
    duration total{0};
    int known = 0;
    for (const auto& each : candidates) {
        total += each.run_time;
        known += each.run_time.count() > 0 ? 1 : 0;
    }
    if (known == 0) {
        return false;
    }
    // A target of unknown speed is assumed to be an average one, so that it is tried.
    const double mean = in_seconds(total) / known;
    run_times_.clear();
    finish_times_.clear();
    for (const auto& each : candidates) {
        const double run_time = each.run_time.count() > 0 ? in_seconds(each.run_time) : mean;
        run_times_.push_back(run_time);
        finish_times_.push_back(run_time +
                                service_time_of(each, run_time) * weighted_wait(each.load));
    }
    return true;
}

std::optional<std::size_t> placement::earliest(std::span<const candidate> candidates,
                                               int importance, distance farthest) {
    const auto is_eligible = [&](const candidate& each) {
        return each.distance_to_target <= farthest && each.level <= importance;
    };
    double first = std::numeric_limits<double>::max();
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (is_eligible(candidates[i])) {
            first = std::min(first, finish_times_[i]);
        }
    }
    const double latest = first * (1 + equal_time_share);
    std::optional<std::size_t> best;
    int equals = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const auto& each = candidates[i];
        if (finish_times_[i] > latest || !is_eligible(each)) {
            continue;
        }
        if (!best || each.load < candidates[*best].load) {
            best = i;
            equals = 1;
        } else if (each.load == candidates[*best].load &&
                   random_() % static_cast<unsigned>(++equals) == 0) {
            best = i;
        }
    }
    return best;
}

double placement::time_advantage(std::size_t near) const noexcept {
    return std::max(in_seconds(min_time_advantage), run_times_[near] * min_load_advantage);
}

std::optional<std::size_t> placement::choose_by_time(std::span<const candidate> candidates,
                                                     int importance) {
    const auto saves_enough = [this, candidates](std::size_t farther, std::size_t near) {
        return unweighted_time(candidates[near], run_times_[near]) -
                   unweighted_time(candidates[farther], run_times_[farther]) >
               time_advantage(near);
    };
    const auto near = earliest(candidates, importance, distance::local_data_centre);
    if (near) {
        const auto host = earliest(candidates, importance, distance::local_host);
        if (host && candidates[*host].load < max_preferred_load && !saves_enough(*near, *host)) {
            return host;
        }
        const bool has_unloaded = std::ranges::any_of(candidates, [&](const candidate& each) {
            return each.distance_to_target <= distance::local_data_centre &&
                   each.level <= importance && each.load < max_preferred_load;
        });
        if (has_unloaded) {
            return near;
        }
    }
    const auto any = earliest(candidates, importance, distance::remote_data_centre);
    return near && any && !saves_enough(*any, *near) ? near : any;
}

} // namespace lavenderhoist::mesh
