#pragma once

#include "lavenderhoist/net/cancellation.hpp"
#include "lavenderhoist/net/http_client.hpp"
#include "lavenderhoist/net/http_server.hpp"
#include "lavenderhoist/net/signal.hpp"
#include "lavenderhoist/standin/target_settings.hpp"

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace lavenderhoist::standin {

/**
 * \brief A stand-in for a back end: slots with a queue, service time, calls to other services,
 * faults on demand, and a record of executions for the test oracle.
 *
 * On its admin listener: POST /_stub/faults, GET /_stub/record, GET /_stub/status.
 */
class stub_target {
public:
    stub_target(boost::asio::any_io_executor executor, target_settings settings);

    void start();

    /** \brief Announces its departure; calls `done` once no request is in flight. */
    void drain(std::function<void()> done);

private:
    /** Faults that tests switch on. */
    struct faults {
        double slow_factor{1};
        bool hang{false};   ///< Requests are accepted and not answered within 30 s.
        bool refuse{false}; ///< Requests are shed at once.
        std::string poison; ///< The process exits on a request whose body contains this.
    };

    /** One execution of a request. */
    struct execution {
        std::string key;
        std::string path;
        std::int64_t began_ms;
    };

    boost::asio::awaitable<net::response> serve(net::request message,
                                                net::cancellation_ptr cancelled);
    boost::asio::awaitable<bool> take_slot(net::cancellation_ptr cancelled);
    void free_slot();
    boost::asio::awaitable<net::response> execute(net::request message);
    boost::asio::awaitable<net::response> call_downstream(const downstream_call& call,
                                                          const net::request& message);
    boost::asio::awaitable<void> work();
    boost::asio::awaitable<net::response> serve_admin(net::request message);
    net::response set_faults(const net::request& message);
    net::response record() const;
    net::response status() const;
    boost::asio::awaitable<void> announce_loop();
    boost::asio::awaitable<void> announce();
    boost::asio::awaitable<void> drain_loop(std::function<void()> done);

    boost::asio::any_io_executor executor_;
    target_settings settings_;
    faults faults_;
    time_point started_;
    std::uint64_t generation_;
    bool draining_{false};
    int busy_{0};
    std::deque<std::shared_ptr<net::signal>> queue_;
    std::vector<execution> executions_;
    std::uint64_t completed_{0};
    std::uint64_t shed_{0};
    std::uint64_t expired_{0};
    net::http_client egress_;
    std::unique_ptr<net::http_server> server_;
    std::unique_ptr<net::http_server> admin_;
};

} // namespace lavenderhoist::standin
