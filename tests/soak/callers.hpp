#pragma once

#include "world.hpp"

#include <atomic>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace lavenderhoist::soak {

/** \brief Callers that send reads and orders continuously and record the answers. */
class callers {
public:
    callers(platform_test::world& deployment, int count, std::uint64_t seed);
    callers(const callers&) = delete;
    callers& operator=(const callers&) = delete;
    ~callers();

    void stop();

    /** \brief Compares the answers with the recorded executions of the targets. Call after stop().
     * \returns a line for each violation. */
    std::vector<std::string> find_violations();

    int sent() const noexcept { return static_cast<int>(observations_.size()); }
    int served() const noexcept { return served_; }

private:
    struct observation {
        std::string id;
        std::string path;
        int status; ///< 0 if there was no answer.
        bool is_order;
        bool is_complete; ///< The complete answer of a target to this request.
    };

    void run(std::uint64_t seed);
    observation send_one_request(std::mt19937_64& random);

    platform_test::world& world_;
    std::atomic<bool> stop_{false};
    std::atomic<int> served_{0};
    std::mutex mutex_;
    std::vector<observation> observations_;
    std::vector<std::thread> threads_;
};

} // namespace lavenderhoist::soak
