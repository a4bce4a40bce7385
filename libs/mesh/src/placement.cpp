#include "lavenderhoist/mesh/placement.hpp"

namespace lavenderhoist::mesh {

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

} // namespace lavenderhoist::mesh
