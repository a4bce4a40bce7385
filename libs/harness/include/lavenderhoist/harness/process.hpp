#pragma once

#include "lavenderhoist/core/clock.hpp"

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace lavenderhoist::harness {

/** \brief A child process of a test or a measurement; killed on destruction. */
class process {
public:
    /** \brief Starts a program. \param output file to which its standard output and error are
     * appended. */
    process(const std::vector<std::string>& command, const std::string& output);
    process(const process&) = delete;
    process& operator=(const process&) = delete;
    process(process&& other) noexcept;
    process& operator=(process&& other) noexcept;
    ~process();

    pid_t id() const noexcept { return id_; }

    /** \brief Sends a signal if the process is running. */
    void send(int signal) const;

    /** \brief Kills the process and waits until it has ended. */
    void kill();

    /** \returns the exit code, or -signal; nothing if it is still running after `timeout`. */
    std::optional<int> wait(duration timeout);

    bool is_running();

private:
    pid_t id_{-1};
    std::optional<int> ended_;
};

/** \brief Processor time and resident memory of a process. */
struct process_usage {
    double processor_seconds{0};
    double resident_mb{0};
};

process_usage usage_of(pid_t id);

} // namespace lavenderhoist::harness
