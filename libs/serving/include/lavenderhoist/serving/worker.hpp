#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_future.hpp>

#include <thread>
#include <utility>

namespace lavenderhoist::node {

/** \brief One thread with its own io_context, registered as a reader of rcu_cell objects. */
class worker {
public:
    worker();
    worker(const worker&) = delete;
    worker& operator=(const worker&) = delete;
    ~worker();

    boost::asio::io_context& context() noexcept { return context_; }
    boost::asio::any_io_executor executor() { return context_.get_executor(); }

    void start();

    /** \brief Ends the loop and waits for the thread. */
    void stop();

    /**
     * \brief Runs `work` on the thread and waits for its result.
     * Precondition: not called from the thread itself.
     */
    template <typename Work>
    auto run_here(Work work) {
        return boost::asio::post(context_, boost::asio::use_future(std::move(work))).get();
    }

private:
    boost::asio::io_context context_{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard_;
    std::thread thread_;
};

} // namespace lavenderhoist::node
