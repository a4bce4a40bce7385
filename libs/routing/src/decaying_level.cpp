#include "lavenderhoist/routing/decaying_level.hpp"

namespace lavenderhoist::routing {

void decaying_level::record(int level, time_point now) noexcept {
    level_ = level;
    received_at_ = now;
}

int decaying_level::level(time_point now) const noexcept {
    const auto age = now - received_at_;
    if (level_ == 0 || age >= lifetime) {
        return 0;
    }
    if (age <= hold_time) {
        return level_;
    }
    return static_cast<int>(level_ * (lifetime - age).count() / (lifetime - hold_time).count());
}

} // namespace lavenderhoist::routing
