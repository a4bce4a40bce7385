#include "lavenderhoist/membership/member.hpp"

namespace lavenderhoist::membership {

bool supersedes(const member& next, const member& before) noexcept {
    if (next.incarnation != before.incarnation) {
        return next.incarnation > before.incarnation;
    }
    return next.state > before.state;
}

bool is_accepting_work(const member& candidate) noexcept {
    const bool present = candidate.state == liveness::alive || candidate.state == liveness::suspect;
    return present && candidate.target && !candidate.target->draining;
}

} // namespace lavenderhoist::membership
