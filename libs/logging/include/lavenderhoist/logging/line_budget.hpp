#pragma once

#include "lavenderhoist/core/clock.hpp"

#include <cstdint>

namespace lavenderhoist::logging {

/**
 * \brief Bounds the lines of one kind: a number a second, with a burst of as many, or of one.
 *
 * Not thread-safe.
 */
class line_budget {
public:
    explicit line_budget(double lines_per_second) noexcept
        : rate_(lines_per_second), balance_(lines_per_second) {}

    /** \returns true if a line may be written; otherwise it counts as suppressed. */
    bool take(time_point now) noexcept;

    /** \brief Lines suppressed since the last call. */
    std::uint64_t take_suppressed() noexcept;

private:
    double rate_;
    double balance_;
    time_point last_{};
    std::uint64_t suppressed_{0};
};

} // namespace lavenderhoist::logging
