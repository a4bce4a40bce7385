#include "lavenderhoist/routing/selector.hpp"

#include <algorithm>
#include <limits>
#include <vector>

namespace lavenderhoist::routing {

choice selector::choose(std::span<const candidate> candidates, int importance, time_point now) {
    std::vector<std::size_t> local;
    std::vector<std::size_t> remote;
    int min_refusing_level = std::numeric_limits<int>::max();
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const auto& option = candidates[i];
        if (option.is_tried || !option.state->is_available(now)) {
            continue;
        }
        if (option.level > importance) {
            min_refusing_level = std::min(min_refusing_level, option.level);
            continue;
        }
        (option.is_local ? local : remote).push_back(i);
    }
    if (!local.empty()) {
        return chosen{pick_of_two(candidates, local)};
    }
    if (!remote.empty()) {
        return chosen{pick_of_two(candidates, remote)};
    }
    if (min_refusing_level != std::numeric_limits<int>::max()) {
        return all_refuse{min_refusing_level};
    }
    return none_available{};
}

std::size_t selector::pick_of_two(std::span<const candidate> candidates,
                                  std::span<const std::size_t> open) {
    std::uniform_int_distribution<std::size_t> any(0, open.size() - 1);
    const auto first = open[any(random_)];
    const auto second = open[any(random_)];
    const bool is_second_less_loaded =
        candidates[second].state->in_flight() < candidates[first].state->in_flight();
    return is_second_less_loaded ? second : first;
}

int min_level(std::span<const candidate> candidates, int closed, time_point now) {
    int result = closed;
    for (const auto& option : candidates) {
        if (!option.state->is_available(now)) {
            continue;
        }
        result = std::min(result, option.level);
    }
    return result;
}

} // namespace lavenderhoist::routing
