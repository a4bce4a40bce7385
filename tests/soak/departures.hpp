#pragma once

#include "faults.hpp"
#include "world.hpp"

#include <atomic>
#include <cstdint>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace lavenderhoist::soak {

/**
 * \brief Has targets leave and start again while other faults happen: with the store silent for
 * their node, their node killed after the acknowledgement, heartbeats that arrive late, and clocks
 * that jump between two starts under one id. A target goes on serving after its leave.
 */
class target_departures {
public:
    target_departures(platform_test::world& deployment, fault_plan& faults, std::uint64_t seed);
    target_departures(const target_departures&) = delete;
    target_departures& operator=(const target_departures&) = delete;
    ~target_departures();

    /** \brief No further target leaves; the last one has started again on return. */
    void stop();

    /** \brief Targets that executed a request too late after their acknowledged leave. To be called
     * after stop(). */
    std::vector<std::string> find_late_executions();

    std::size_t acknowledged() const noexcept { return periods_.size(); }

private:
    /** From an acknowledged leave to the next start of the target. */
    struct departure {
        const platform_test::host* where;
        time_point acknowledged_at;
        time_point restarted_at{time_point::max()};
    };

    void run();
    void depart(platform_test::host& leaving);
    bool announce_departure(platform_test::host& leaving);
    void restart(platform_test::host& departed);
    void pause_for(duration length);
    int draw(int below) { return static_cast<int>(random_() % static_cast<unsigned>(below)); }

    platform_test::world& world_;
    fault_plan& faults_;
    std::mt19937_64 random_;
    std::vector<departure> periods_;
    int starts_{0};
    std::atomic<bool> stops_{false};
    std::thread thread_;
};

} // namespace lavenderhoist::soak
