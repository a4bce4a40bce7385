#pragma once

#include "lavenderhoist/agent/agent_settings.hpp"
#include "lavenderhoist/agent/platform_codec.hpp"

#include <memory>
#include <string>

namespace lavenderhoist::agent {

/**
 * \brief The whole process beside a target: the request path and the control side, started and
 * stopped in order.
 */
class sidecar {
public:
    /** \param settings_path file that settings are read from again on SIGHUP. */
    sidecar(const agent_settings& settings, std::string settings_path, const platform_codec& codec);
    sidecar(const sidecar&) = delete;
    sidecar& operator=(const sidecar&) = delete;
    ~sidecar();

    /** \brief Runs until SIGTERM or SIGINT has been obeyed. */
    void run();

private:
    struct implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace lavenderhoist::agent
