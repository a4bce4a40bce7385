#pragma once

#include "lavenderhoist/admission/controller.hpp"
#include "lavenderhoist/call/call.hpp"
#include "lavenderhoist/net/cancellation.hpp"
#include "lavenderhoist/net/signal.hpp"

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <span>
#include <unordered_map>

namespace lavenderhoist::node {

/** \brief Lets coroutines wait for the decisions of an admission::controller. Not thread-safe. */
class admission_gate {
public:
    admission_gate(boost::asio::any_io_executor executor, int slots);

    /** \brief The way in for one request, and its place in the controller while it runs. */
    struct entry {
        std::uint64_t id{0};
        bool is_admitted{false};
        errc reason{errc::ok}; ///< If not admitted.
        duration retry_after{0};
    };

    /** \brief Waits until the request may run or is refused. */
    boost::asio::awaitable<entry> enter(const call& request, net::cancellation_ptr cancelled);

    /** \brief An admitted request has ended. */
    void leave(const entry& admitted, admission::completion how);

    /** \brief Refuses all that wait: the target is gone. */
    void close();

    /** \brief To be called every admission::controller::window_length. */
    void on_window();

    admission::controller& controller() noexcept { return controller_; }

private:
    struct waiter;

    void apply(std::span<const admission::decision> decisions);

    boost::asio::any_io_executor executor_;
    admission::controller controller_;
    std::unordered_map<std::uint64_t, std::shared_ptr<waiter>> waiters_;
    std::uint64_t last_id_{0};
};

} // namespace lavenderhoist::node
