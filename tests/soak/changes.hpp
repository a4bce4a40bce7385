#pragma once

#include "world.hpp"

#include <atomic>
#include <cstdint>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace lavenderhoist::soak {

/**
 * \brief Publishes configurations one after the other while other faults happen, each with one
 * route more, and now and then silences the open connections of a host to the store for good.
 */
class configuration_changes {
public:
    /** \param routes the first ones of each configuration. */
    configuration_changes(platform_test::world& deployment,
                          std::vector<platform_test::route_spec> routes, std::uint64_t seed);
    configuration_changes(const configuration_changes&) = delete;
    configuration_changes& operator=(const configuration_changes&) = delete;
    ~configuration_changes();

    /** \brief Publishes no more. */
    void stop();

    /** \brief Publishes a last configuration on a deployment without faults.
     * \returns the nodes at which it is not in force in time. To be called after stop(). */
    std::vector<std::string> find_outdated();

    int published() const noexcept { return published_; }

private:
    void run();
    void publish_next();

    platform_test::world& world_;
    std::vector<platform_test::route_spec> routes_;
    std::mt19937_64 random_;
    std::string newest_path_;
    int published_{0};
    std::atomic<bool> stops_{false};
    std::thread thread_;
};

} // namespace lavenderhoist::soak
