#include "lavenderhoist/mesh/placement.hpp"

namespace lavenderhoist::mesh {

std::optional<std::size_t> placement::least_loaded(std::span<const candidate> candidates,
                                                   int importance, distance farthest) {
    std::optional<std::size_t> best;
    int equals = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const auto& each = candidates[i];
        if (each.distance_to_target > farthest || each.level > importance) {
            continue;
        }
        if (!best || each.load < candidates[*best].load) {
            best = i;
            equals = 1;
            continue;
        }
        // Reservoir sampling: equally loaded candidates are equally likely.
        if (each.load == candidates[*best].load &&
            random_() % static_cast<unsigned>(++equals) == 0) {
            best = i;
        }
    }
    return best;
}

std::optional<std::size_t> placement::choose(std::span<const candidate> candidates,
                                             int importance) {
    for (const auto reach : {distance::local_host, distance::local_data_centre}) {
        const auto near = least_loaded(candidates, importance, reach);
        if (near && candidates[*near].load < max_preferred_load) {
            return near;
        }
    }
    const auto near = least_loaded(candidates, importance, distance::local_data_centre);
    const auto any = least_loaded(candidates, importance, distance::remote_data_centre);
    if (near && any && candidates[*near].load <= candidates[*any].load + min_load_advantage) {
        return near;
    }
    return any;
}

} // namespace lavenderhoist::mesh
