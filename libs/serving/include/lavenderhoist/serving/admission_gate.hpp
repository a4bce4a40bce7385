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

/** \brief Suspends coroutines until an admission::controller decides. Not thread-safe. */
class admission_gate {
public:
    admission_gate(boost::asio::any_io_executor executor, int slots);

    /** \brief Result of admission for one request; identifies it in the controller while it runs.
     */
    struct entry {
        std::uint64_t id{0};
        bool is_admitted{false};
        errc reason{errc::ok}; ///< Why the request was refused; ok if admitted.
        duration retry_after{0};
    };

    /** \brief Waits until the request is admitted or refused, is cancelled or passes its deadline.
     */
    boost::asio::awaitable<entry> enter(const call& request, net::cancellation_ptr cancelled);

    /** \brief Frees the slot of an admitted request that has ended. */
    void leave(const entry& admitted, admission::completion how);

    /** \brief Refuses all waiting requests, because the target is gone. */
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
