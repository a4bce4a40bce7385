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

    /** \brief Stops the io_context and joins the thread. */
    void stop();

    /**
     * \brief Runs `work` on the worker's thread and blocks until its result is there.
     * Precondition: not called from the worker's thread.
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
