#include "lavenderhoist/relay/attempt_plan.hpp"

namespace lavenderhoist::relay {

next_step attempt_plan::on_answer(const relay_answer& answer, duration time_left) noexcept {
    open_ = false;
    if (answer.reached_target) {
        ++reached_;
    }
    if (answer.result == execution::answered) {
        return next_step::deliver;
    }
    if (answer.result == execution::unknown) {
        may_have_run_ = true;
    }
    const bool is_safe = repeatable_ || !may_have_run_;
    const bool has_tries = placements_ < max_placements && reached_ < attempts_;
    if (!is_safe || !has_tries || time_left < least_time) {
        return next_step::give_up;
    }
    return answer.reached_target ? next_step::repeat : next_step::place_again;
}

bool attempt_plan::may_ask_another(duration time_left) const noexcept {
    return repeatable_ && !open_ && reached_ < attempts_ && placements_ < max_placements &&
           time_left >= least_time;
}

execution attempt_plan::proven() const noexcept {
    return may_have_run_ || open_ ? execution::unknown : execution::not_run;
}

} // namespace lavenderhoist::relay
