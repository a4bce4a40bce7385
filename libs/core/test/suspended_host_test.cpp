// Simulates a host that is suspended, by a clock_gettime() of this program.

#include "lavenderhoist/core/clock.hpp"

#include <gtest/gtest.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <atomic>
#include <ctime>

namespace {

/** How long the host has been suspended since it was started. */
std::atomic<time_t> suspended_seconds{0};

} // namespace

extern "C" int clock_gettime(clockid_t which, timespec* reading) noexcept {
    const auto result = syscall(SYS_clock_gettime, which, reading);
    if (result == 0 && which == CLOCK_BOOTTIME) {
        reading->tv_sec += suspended_seconds.load();
    }
    return static_cast<int>(result);
}

// Knowledge must not seem younger, and a lease not longer, by the time that a host was suspended.
TEST(runtime_clock, counts_the_time_for_which_the_host_was_suspended) {
    using namespace lavenderhoist;
    constexpr auto suspension = std::chrono::seconds(5);
    const auto before = runtime_clock::now();
    suspended_seconds = suspension.count();
    EXPECT_GE(runtime_clock::now() - before, suspension);
    suspended_seconds = 0;
}
