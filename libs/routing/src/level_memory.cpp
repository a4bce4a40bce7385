#include "lavenderhoist/routing/level_memory.hpp"

#include <algorithm>

namespace lavenderhoist::routing {

void level_memory::hear(int level, time_point now) noexcept {
    level_ = level;
    heard_ = now;
}

int level_memory::level(time_point now) const noexcept {
    const auto age = std::max(now - heard_, duration(0));
    if (level_ == 0 || age >= lifetime) {
        return 0;
    }
    return static_cast<int>(level_ * (lifetime - age).count() / lifetime.count());
}

} // namespace lavenderhoist::routing
