#include "lavenderhoist/core/clock.hpp"

#include <atomic>
#include <ctime>

namespace lavenderhoist {
namespace {

// A paused clock reads `paused_reading`, a running one the time since boot plus `boot_offset`.
std::atomic<bool> paused{false};
std::atomic<duration::rep> paused_reading{0};
std::atomic<duration::rep> boot_offset{0};
std::atomic<milliseconds::rep> wall_offset{0};

duration::rep boot_reading() noexcept {
    // std::chrono::steady_clock does not count the time for which a host is suspended.
    timespec since_boot{};
    clock_gettime(CLOCK_BOOTTIME, &since_boot); // fails on kernels before 2.6.39 only
    return duration(std::chrono::seconds(since_boot.tv_sec)).count() + since_boot.tv_nsec;
}

} // namespace

time_point runtime_clock::now() noexcept {
    if (paused.load(std::memory_order_acquire)) {
        return time_point(duration(paused_reading.load(std::memory_order_acquire)));
    }
    return time_point(duration(boot_reading() + boot_offset.load(std::memory_order_relaxed)));
}

void runtime_clock::pause() noexcept {
    paused_reading.store(now().time_since_epoch().count(), std::memory_order_release);
    paused.store(true, std::memory_order_release);
}

void runtime_clock::advance(duration step) noexcept {
    paused_reading.fetch_add(step.count(), std::memory_order_acq_rel);
}

void runtime_clock::resume() noexcept {
    boot_offset.store(paused_reading.load() - boot_reading(), std::memory_order_relaxed);
    paused.store(false, std::memory_order_release);
}

bool runtime_clock::is_paused() noexcept {
    return paused.load(std::memory_order_acquire);
}

milliseconds wall_time() noexcept {
    const auto since_1970 = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<milliseconds>(since_1970) + milliseconds(wall_offset.load());
}

void set_wall_offset(milliseconds offset) noexcept {
    wall_offset.store(offset.count());
}

} // namespace lavenderhoist
