#pragma once

#include "lavenderhoist/load/stream.hpp"
#include "lavenderhoist/net/http_client.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <memory>
#include <random>
#include <vector>

namespace lavenderhoist::load {

/** \brief The streams of a run and the entries that they are sent to. */
struct plan {
    std::vector<stream> streams;
    std::vector<net::tcp::endpoint> entries; ///< Used in round-robin order.
    duration length{std::chrono::seconds(10)};
    std::uint64_t seed{1};
};

/** \brief Sends the streams of a plan and records how each request ended. */
class generator {
public:
    explicit generator(plan what);
    generator(const generator&) = delete;
    generator& operator=(const generator&) = delete;
    ~generator();

    /** \brief Runs the plan on the calling thread; returns when the last request has ended. */
    void run();

    /** \brief All requests, in the order of completion. Valid after run(). */
    const std::vector<sample>& samples() const noexcept { return samples_; }

private:
    boost::asio::awaitable<void> send_stream(unsigned index);
    boost::asio::awaitable<void> send_one(unsigned index, std::uint64_t number);
    ending classify(const net::exchange_result& result, const std::string& nonce) const;
    net::http_client& next_entry();
    std::string make_key();

    plan plan_;
    boost::asio::io_context context_{1};
    std::mt19937_64 random_;
    std::vector<std::unique_ptr<net::http_client>> entries_;
    std::size_t next_entry_{0};
    time_point started_;
    std::vector<sample> samples_;
};

} // namespace lavenderhoist::load
