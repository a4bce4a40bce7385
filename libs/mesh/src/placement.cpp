#include "lavenderhoist/mesh/placement.hpp"

namespace lavenderhoist::mesh {

std::optional<std::size_t> placement::least_loaded(std::span<const option> options, int importance,
                                                   distance farthest) {
    std::optional<std::size_t> best;
    int equals = 0;
    for (std::size_t i = 0; i < options.size(); ++i) {
        const auto& each = options[i];
        if (each.where > farthest || each.level > importance) {
            continue;
        }
        if (!best || each.load < options[*best].load) {
            best = i;
            equals = 1;
            continue;
        }
        // Each of several equal ones is as likely.
        if (each.load == options[*best].load && random_() % static_cast<unsigned>(++equals) == 0) {
            best = i;
        }
    }
    return best;
}

std::optional<std::size_t> placement::choose(std::span<const option> options, int importance) {
    for (const auto reach : {distance::own_host, distance::own_data_centre}) {
        const auto near = least_loaded(options, importance, reach);
        if (near && options[*near].load < room) {
            return near;
        }
    }
    const auto near = least_loaded(options, importance, distance::own_data_centre);
    const auto any = least_loaded(options, importance, distance::elsewhere);
    if (near && any && options[*near].load <= options[*any].load + worthwhile) {
        return near;
    }
    return any;
}

} // namespace lavenderhoist::mesh
