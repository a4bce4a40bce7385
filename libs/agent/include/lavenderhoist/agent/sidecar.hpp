#pragma once

#include "lavenderhoist/agent/agent_settings.hpp"
#include "lavenderhoist/agent/platform_codec.hpp"

#include <memory>
#include <string>

namespace lavenderhoist::agent {

/**
 * \brief The process that runs next to a target: request path and control plane, started and
 * stopped in order.
 */
class sidecar {
public:
    /** \param settings_path file compared with the settings in use on SIGHUP and at intervals; a
     * change is validated and logged, and takes effect at the next start of the process. */
    sidecar(const agent_settings& settings, std::string settings_path, const platform_codec& codec);
    sidecar(const sidecar&) = delete;
    sidecar& operator=(const sidecar&) = delete;
    ~sidecar();

    /** \brief Runs until an orderly stop after SIGTERM or SIGINT has ended. */
    void run();

private:
    struct implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace lavenderhoist::agent
