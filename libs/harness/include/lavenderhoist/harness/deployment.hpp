#pragma once

#include "lavenderhoist/config/address.hpp"
#include "lavenderhoist/harness/http.hpp"
#include "lavenderhoist/harness/process.hpp"
#include "lavenderhoist/net/endpoint.hpp"

#include <boost/json.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lavenderhoist::harness {

/** \brief A service of a deployment under test. */
struct service_spec {
    std::string name;
    int targets{1};
    int slots{10};
    int connections{100};
    int service_ms{10};
    int cold_start_ms{0};
    boost::json::array calls; ///< As in the settings of a stub target.
    int target_queue{1'000'000};
};

/** \brief A deployment under test: stand-ins and nodes as separate processes on loopback. */
struct deployment_spec {
    std::vector<service_spec> services;
    std::string configuration; ///< JSON; published once the nodes are up. Empty: none.
    std::vector<std::string> data_centres{"dc-1"};
    bool policy{true};
    int lease_ms{2'000};
    int outage_limit_ms{1'800'000};
    int log_retention_ms{3'600'000};
    int entry_threads{1};
    int spare_nodes{0}; ///< Nodes without a target.
};

/** \brief One host: a node and the stand-in of its target. */
struct host {
    std::string id;
    std::string service;
    std::string data_centre;
    config::address callers;
    config::address admin;
    config::address target_admin;
    config::address target;
    std::string node_settings;   ///< Path of the file.
    std::string target_settings; ///< Path of the file.
    std::unique_ptr<process> node;
    std::unique_ptr<process> stub;
};

/** \brief Starts, observes and stops a deployment. */
class deployment {
public:
    /** \param binaries folder with the programs. */
    deployment(std::string binaries, deployment_spec spec);
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;
    ~deployment();

    /** \brief Starts all processes and waits until every node has the configuration and all
     * targets. */
    bool start(duration timeout = std::chrono::seconds(20));

    std::vector<host>& hosts() noexcept { return hosts_; }
    std::vector<host*> hosts_of(const std::string& service);
    const config::address& log() const noexcept { return log_; }
    const std::string& folder() const noexcept { return folder_; }
    std::vector<net::tcp::endpoint> entries() const;

    void start_node(host& which) const;
    void start_stub(host& which) const;
    void start_log();
    process& log_process() noexcept { return *log_process_; }

    /** \brief Publishes a configuration through a node. */
    net::response publish(const host& through, const std::string& configuration,
                          std::int64_t replaces_version, const std::string& id) const;

    boost::json::value admin_get(const host& which, const std::string& path) const;
    net::response admin_post(const host& which, const std::string& path,
                             const std::string& body) const;
    void set_target_faults(const host& which, const std::string& faults) const;
    void set_log_faults(const std::string& faults) const;
    boost::json::value target_get(const host& which, const std::string& path) const;

    /** \brief True once every running node has this configuration version and lists `targets`
     * targets that are alive and not draining. */
    bool has_converged(std::int64_t version, std::size_t targets) const;

    /** \brief True once at least `members` nodes of `service` may run orders in the latest epoch.
     */
    bool has_ready_orders(const std::string& service, std::size_t members) const;

    static constexpr const char* admin_token = "operator-token";

private:
    void make_host(const service_spec& service, int index, const std::string& data_centre);
    void make_spare_node(int index);
    boost::json::object node_settings(const host& which, const config::address& egress);
    std::string write_file(const std::string& name, const boost::json::value& content) const;
    config::address next_address();

    std::string binaries_;
    deployment_spec spec_;
    std::string folder_;
    config::address log_;
    std::vector<config::address> contacts_;
    std::vector<host> hosts_;
    std::unique_ptr<process> log_process_;
};

} // namespace lavenderhoist::harness
