#pragma once

#include "lavenderhoist/core/clock.hpp"
#include "lavenderhoist/relay/relay_answer.hpp"

#include <cstdint>

namespace lavenderhoist::relay {

/** \brief What to do after a try of a request has ended. */
enum class next_step : std::uint8_t {
    deliver,     ///< Hand the target's answer to the caller.
    place_again, ///< Try another target; the last one was not reached.
    repeat,      ///< Try another target, if the repeat budget allows it.
    give_up,     ///< Tell the caller that there is no answer.
};

/**
 * \brief Decides how often a request is tried, and what may be said about it in the end.
 *
 * A request that must not be repeated goes to a second target only with proof that it has not run
 * at the first. What is said at the end rests on all tries: not_run only if each was proven so.
 */
class attempt_plan {
public:
    /** \brief Tries that reach no target are bounded as well, since each costs time. */
    static constexpr int max_placements = 4;

    /** Less time than this left is not worth another try. */
    static constexpr duration least_time = std::chrono::milliseconds(5);

    /** \param attempts targets that may be reached, at least 1. */
    attempt_plan(int attempts, bool repeatable) noexcept
        : attempts_(attempts), repeatable_(repeatable) {}

    /** \brief A try is handed to a target or its node. */
    void on_try() noexcept {
        ++placements_;
        open_ = true;
    }

    next_step on_answer(const relay_answer& answer, duration time_left) noexcept;

    /**
     * \brief True if another target may be asked although the last one has answered, because its
     * answer is a failure of its own.
     */
    bool may_ask_another(duration time_left) const noexcept;

    /** \brief What is proven of the whole request, when it is given up now. */
    execution proven() const noexcept;

    int placements() const noexcept { return placements_; }

private:
    int attempts_;
    bool repeatable_;
    bool open_{false}; ///< The last try has not ended.
    bool may_have_run_{false};
    int reached_{0};
    int placements_{0};
};

} // namespace lavenderhoist::relay
