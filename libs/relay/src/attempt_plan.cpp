#include "lavenderhoist/relay/attempt_plan.hpp"

#include <utility>

namespace lavenderhoist::relay {

next_step attempt_plan::on_answer(const relay_answer& answer, duration time_left) noexcept {
    open_ = false;
    if (answer.reached_target && !std::exchange(is_resend_, false)) {
        ++reached_;
    }
    if (answer.result == execution::answered) {
        may_have_run_ = true;
        return next_step::deliver;
    }
    if (answer.result == execution::unknown) {
        may_have_run_ = true;
    }
    const bool is_safe = idempotent_ || !may_have_run_;
    const bool is_shed = answer.reached_target && answer.result == execution::not_run;
    if (is_shed && is_safe && reached_ >= attempts_ && resends_ < max_resends &&
        time_left >= min_time_left) {
        return next_step::resend;
    }
    const bool has_attempts_left = placements_ < max_placements && reached_ < attempts_;
    if (!is_safe || !has_attempts_left || time_left < min_time_left) {
        return next_step::fail;
    }
    return answer.reached_target ? next_step::retry : next_step::reroute;
}

bool attempt_plan::may_retry_answered(duration time_left) const noexcept {
    return idempotent_ && !open_ && reached_ < attempts_ && placements_ < max_placements &&
           time_left >= min_time_left;
}

execution attempt_plan::proven_execution() const noexcept {
    return may_have_run_ || open_ ? execution::unknown : execution::not_run;
}

} // namespace lavenderhoist::relay
