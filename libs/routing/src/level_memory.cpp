#include "lavenderhoist/routing/level_memory.hpp"

namespace lavenderhoist::routing {

void level_memory::hear(int level, time_point now) noexcept {
    level_ = level;
    heard_ = now;
}

int level_memory::level(time_point now) const noexcept {
    const auto age = now - heard_;
    if (level_ == 0 || age >= lifetime) {
        return 0;
    }
    if (age <= hold) {
        return level_;
    }
    return static_cast<int>(level_ * (lifetime - age).count() / (lifetime - hold).count());
}

} // namespace lavenderhoist::routing
