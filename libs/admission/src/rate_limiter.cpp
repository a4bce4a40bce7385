#include "lavenderhoist/admission/rate_limiter.hpp"

#include <algorithm>

namespace lavenderhoist::admission {

namespace {

/** Higher limits are none: their interval would be rounded to 0. */
constexpr double max_per_second = 1'000'000;

} // namespace

void rate_limiter::set(std::optional<double> per_second, time_point now) noexcept {
    if (!per_second || *per_second > max_per_second) {
        interval_ = duration(0);
        return;
    }
    const std::chrono::duration<double> exact(1 / std::max(*per_second, min_per_second));
    const auto interval = std::chrono::duration_cast<duration>(exact);
    // Covering earlier requests at a much lower rate would stop the target for long.
    covered_at_ = std::min(std::max(covered_at_, now), now + burst + interval);
    interval_ = interval;
}

std::optional<double> rate_limiter::per_second() const noexcept {
    if (interval_.count() == 0) {
        return std::nullopt;
    }
    return 1 / std::chrono::duration<double>(interval_).count();
}

void rate_limiter::on_start(time_point now) noexcept {
    covered_at_ = std::max(covered_at_, now) + interval_;
}

time_point rate_limiter::next_start() const noexcept {
    return interval_.count() == 0 ? time_point::min() : covered_at_ - burst;
}

duration rate_limiter::wait_of(std::size_t requests, time_point now) const noexcept {
    if (interval_.count() == 0 || requests == 0) {
        return duration(0);
    }
    const auto last =
        std::max(covered_at_, now) - burst + interval_ * static_cast<duration::rep>(requests - 1);
    return std::max(duration(0), last - now);
}

double rate_limiter::backlog(time_point now) const noexcept {
    if (interval_.count() == 0 || covered_at_ <= now) {
        return 0;
    }
    return static_cast<double>((covered_at_ - now).count()) /
           static_cast<double>(interval_.count());
}

} // namespace lavenderhoist::admission
