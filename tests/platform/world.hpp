#pragma once

#include "fault_proxy.hpp"

#include "lavenderhoist/harness/process.hpp"
#include "lavenderhoist/net/exchange_result.hpp"
#include "lavenderhoist/platform/stub_backend.hpp"
#include "lavenderhoist/platform/stub_store.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <array>
#include <atomic>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace lavenderhoist::platform_test {

/** \brief One host: an lh-sidecar process and, in this process, the stub of its target. */
struct host {
    std::string id;
    config::address callers;
    config::address calls;
    config::address advertised_calls;
    config::address control;
    config::address ready;
    config::address metrics;
    std::string settings_file;
    std::string log_file;
    std::unique_ptr<harness::process> node;
    std::unique_ptr<platform::stub_backend> target;
    std::unique_ptr<fault_proxy> to_target; ///< Between the node and its target.
    std::unique_ptr<fault_proxy> to_store;  ///< Between the node and the store.
    std::unique_ptr<fault_proxy> to_node;   ///< Between peer nodes and the node.
};

/** \brief A route of the configuration. */
struct route_spec {
    std::string prefix;
    std::string service;
    bool idempotent{true};
    int timeout_ms{2'000};
    int priority{1};
    bool is_open{false}; ///< Callers need no key.
};

/** \brief An organisation of the configuration. */
struct organisation_spec {
    std::string name;
    std::vector<std::string> keys;
    double quota_per_second{0}; ///< No quota if 0.
    double quota_burst{0};
};

/** \brief What the configuration allows callers. */
struct limits_spec {
    std::size_t max_body_bytes{1U << 20U};
    int header_timeout_ms{1'000};
};

/**
 * \brief A deployment on the platform: the store and the targets are stubs in this process, the
 * nodes are separate processes.
 */
class world {
public:
    world();
    world(const world&) = delete;
    world& operator=(const world&) = delete;
    ~world();

    /** \brief Adds a host with a target of `service` and starts its node and its target. */
    host& add_host(const std::string& service, const std::string& data_centre = "a",
                   std::vector<platform::stub_call> calls = {},
                   duration service_time = std::chrono::milliseconds(2));

    void start_node(host& which);

    /** \brief Publishes the routes as the next version. */
    void publish(const std::vector<route_spec>& routes);

    /** \brief Sets the organisations of all further versions. */
    void set_organisations(std::vector<organisation_spec> organisations) {
        organisations_ = std::move(organisations);
    }

    /** \brief Sets the limits of all further versions. */
    void set_limits(const limits_spec& limits) { limits_ = limits; }

    /** \brief Sets the memory of the hosts that are added from now on, in MB. */
    void set_host_memory(int megabytes) { host_memory_mb_ = megabytes; }

    /** \brief Sets the key that further requests carry; none if empty. */
    void set_key(std::string key) { key_ = std::move(key); }

    /** \brief Waits until every node is ready and a request reaches each service of the routes. */
    bool wait_until_ready(duration timeout = std::chrono::seconds(10));

    /** \brief Sends a request to a node over a new connection and waits for the answer. */
    net::exchange_result send_request(const host& through, const std::string& method,
                                      const std::string& path, const std::string& id,
                                      int time_left_ms = 2'000, const std::string& body = "");

    /** \brief Sends a request and closes the connection `after` that time, answered or not. */
    void send_and_disconnect(const host& through, const std::string& path, duration after);

    /** \brief A fresh request id. */
    std::string make_id();

    int ready_status(const host& which);

    /** \brief The value of a metric of a node; -1 if there is no metric of that name. */
    std::int64_t metric(const host& which, const std::string& name);

    /** \brief Runs `work` on the thread of the stubs and returns its result. */
    template <typename Work>
    auto run_on_stub_thread(Work work) {
        std::promise<decltype(work())> done;
        boost::asio::post(context_, [&] {
            if constexpr (std::is_void_v<decltype(work())>) {
                work();
                done.set_value();
            } else {
                done.set_value(work());
            }
        });
        return done.get_future().get();
    }

    /** \brief Calls `work` on the thread of the stubs after a while. */
    void after(duration delay, std::function<void()> work);

    /** \brief Runs a coroutine on the thread of the stubs and waits for its result. */
    int await(const std::function<boost::asio::awaitable<int>()>& work);

    /** \brief How often a request was executed, summed over all targets. */
    int executions(const std::string& id);

    platform::stub_store& store() noexcept { return *store_; }
    host& at(std::size_t index) { return *hosts_.at(index); }
    std::size_t size() const noexcept { return hosts_.size(); }

    static constexpr const char* host_name = "test.example";

private:
    void print_logs() const;
    void write_settings(host& which, const std::string& service, const std::string& data_centre);

    boost::asio::io_context context_{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    std::thread thread_;
    std::string folder_;
    config::address store_address_;
    std::array<std::uint16_t, 9> ports_{};
    std::unique_ptr<platform::stub_store> store_;
    std::vector<std::unique_ptr<host>> hosts_;
    std::vector<route_spec> routes_;
    std::vector<organisation_spec> organisations_;
    limits_spec limits_;
    int host_memory_mb_{1'024};
    std::string key_;
    int version_{0};
    std::atomic<int> last_id_{0};
};

/** \brief Ports that are free on loopback, all different. */
std::vector<std::uint16_t> free_ports(std::size_t count);

/** \brief Waits until `is_met`. \returns false if it was not by `timeout`. */
bool wait_until(const std::function<bool()>& is_met, duration timeout = std::chrono::seconds(5));

} // namespace lavenderhoist::platform_test
