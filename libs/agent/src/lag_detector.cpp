#include "lavenderhoist/agent/internal/lag_detector.hpp"

namespace lavenderhoist::agent::internal {

bool lag_detector::on_comparison(std::int64_t own, std::int64_t theirs, duration patience,
                                 time_point now) {
    if (theirs <= own) {
        behind_since_.reset();
        return false;
    }
    if (!behind_since_ || own != own_) {
        own_ = own;
        behind_since_ = now;
    }
    return now - *behind_since_ > patience;
}

} // namespace lavenderhoist::agent::internal
