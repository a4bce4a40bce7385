#pragma once

#include "world.hpp"

#include <atomic>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace lavenderhoist::soak {

/** \brief Callers that send reads and orders all the time and keep what they were told. */
class callers {
public:
    callers(platform_test::world& where, int count, std::uint64_t seed);
    callers(const callers&) = delete;
    callers& operator=(const callers&) = delete;
    ~callers();

    void stop();

    /** \brief Compares what callers were told with what ran. Call after stop().
     * \returns a line for each broken promise. */
    std::vector<std::string> broken_promises();

    int sent() const noexcept { return static_cast<int>(told_.size()); }
    int served() const noexcept { return served_; }

private:
    struct told {
        std::string id;
        std::string path;
        int status; ///< 0 if there was no answer.
        bool is_order;
        bool is_whole; ///< The answer is the target's, whole, and belongs to the request.
    };

    void run(std::uint64_t seed);
    told ask_once(std::mt19937_64& random);

    platform_test::world& world_;
    std::atomic<bool> stop_{false};
    std::atomic<int> served_{0};
    std::mutex lock_;
    std::vector<told> told_;
    std::vector<std::thread> threads_;
};

} // namespace lavenderhoist::soak
