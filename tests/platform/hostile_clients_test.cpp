#include "world.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace lavenderhoist::platform_test {
namespace {

// The smallest memory of a host in users' deployments.
constexpr int node_memory_limit_mb = 160;

// Far more than the crowds below and the connections between two nodes need, far less than the
// 4,100 descriptors of a host.
constexpr std::size_t max_descriptors = 400;

constexpr std::size_t max_body_bytes = 64U << 20U;

// Longer than any crowd needs to send its bodies, so that the time limit does not end them.
constexpr int header_timeout_ms = 30'000;

// A client that neither progresses nor is disconnected for this long sends no more: a node may stop
// reading.
constexpr duration give_up_after = std::chrono::seconds(2);

/** How a body is sent. */
struct body_plan {
    std::size_t bytes{0};       ///< Length of the whole body.
    std::size_t chunk_bytes{0}; ///< 0: announced by Content-Length.
    bool is_completed{false};   ///< Otherwise the sender stops just short of its end.
    std::size_t announced{0};   ///< Content-Length, if not `bytes`.
};

/** A connection that sends one request with a large body. */
class hostile_client {
public:
    hostile_client(boost::asio::io_context& context, const host& through, const std::string& id,
                   body_plan plan)
        : socket_(context), plan_(plan), left_(plan.bytes) {
        boost::system::error_code failed;
        socket_.connect(net::make_endpoint(through.callers.host, through.callers.port), failed);
        is_open_ = !failed;
        socket_.non_blocking(true, failed);
        const auto announced = plan.announced == 0 ? plan.bytes : plan.announced;
        pending_ = "POST /back/x HTTP/1.1\r\nhost: " + std::string(world::host_name) +
                   "\r\nx-request-id: " + id + "\r\nx-deadline-ms: 10000\r\n" +
                   (plan.chunk_bytes == 0 ? "content-length: " + std::to_string(announced)
                                          : "transfer-encoding: chunked") +
                   "\r\n\r\n";
    }

    /** Sends up to `bytes` of what is left. \returns false if nothing could be sent. */
    bool send_some(std::size_t bytes) {
        bool has_sent = false;
        while (is_open_ && bytes > 0) {
            if (pending_.empty()) {
                prepare();
            }
            if (pending_.empty()) {
                return has_sent;
            }
            boost::system::error_code failed;
            const auto count =
                socket_.write_some(boost::asio::buffer(pending_.data(), pending_.size()), failed);
            if (failed == boost::asio::error::would_block) {
                return has_sent;
            }
            is_open_ = !failed;
            pending_.erase(0, count);
            bytes -= std::min(bytes, count);
            has_sent = has_sent || count > 0;
        }
        return has_sent;
    }

    bool has_finished() const { return !is_open_ || (pending_.empty() && is_prepared_); }

private:
    void prepare() {
        constexpr std::size_t batch_bytes = 256U << 10U;
        while (!is_prepared_ && pending_.size() < batch_bytes) {
            const auto count =
                std::min(left_, plan_.chunk_bytes == 0 ? batch_bytes : plan_.chunk_bytes);
            left_ -= count;
            if (plan_.chunk_bytes != 0) {
                std::array<char, 16> head{};
                std::snprintf(head.data(), head.size(), "%zx\r\n", count);
                pending_ += head.data();
            }
            pending_.append(count, 'x');
            pending_ += plan_.chunk_bytes != 0 ? "\r\n" : "";
            if (left_ == 0) {
                is_prepared_ = true;
                end_body();
            }
        }
    }

    void end_body() {
        if (plan_.chunk_bytes != 0) {
            pending_ += "0\r\n\r\n";
        }
        if (!plan_.is_completed) {
            pending_.pop_back();
        }
    }

    net::tcp::socket socket_;
    body_plan plan_;
    std::size_t left_;
    std::string pending_;
    bool is_open_{true};
    bool is_prepared_{false};
};

/** Two nodes, and clients that send to the first what the second one's target shall run. */
class hostile_clients : public testing::Test {
protected:
    void SetUp() override {
        deployment_.set_host_memory(node_memory_limit_mb);
        deployment_.set_limits({max_body_bytes, header_timeout_ms});
        deployment_.add_host("front");
        deployment_.add_host("back");
        deployment_.publish(
            {{"/front/", "front", false, 10'000}, {"/back/", "back", false, 10'000}});
        ASSERT_TRUE(deployment_.wait_until_ready());
    }

    /** Sends all bodies; `piece_bytes` of each in turn, or each whole if 0. The connections stay
     * open. */
    void send_crowd(const std::vector<body_plan>& plans, std::size_t piece_bytes) {
        for (const auto& plan : plans) {
            crowd_.push_back(std::make_unique<hostile_client>(context_, deployment_.at(0),
                                                              deployment_.make_id(), plan));
        }
        if (piece_bytes == 0) {
            for (const auto& each : crowd_) {
                send_until_finished({each.get()}, max_body_bytes);
            }
            return;
        }
        std::vector<hostile_client*> all;
        std::ranges::transform(crowd_, std::back_inserter(all),
                               [](const auto& each) { return each.get(); });
        send_until_finished(all, piece_bytes);
    }

    /** The checks of every case; while the connections are open and after they were closed. */
    void expect_bounded() {
        const auto check = [this] {
            EXPECT_EQ(deployment_
                          .send_request(deployment_.at(0), "GET", "/back/y", deployment_.make_id(),
                                        10'000)
                          .answer.status,
                      200);
            for (std::size_t i = 0; i < deployment_.size(); ++i) {
                auto& node = *deployment_.at(i).node;
                EXPECT_TRUE(node.is_running()) << deployment_.at(i).id;
                const auto peak_mb = peak_memory_mb(node.id());
                RecordProperty("peak_mb_" + deployment_.at(i).id, std::to_string(peak_mb));
                EXPECT_LT(peak_mb, node_memory_limit_mb) << deployment_.at(i).id;
                EXPECT_LT(descriptors(node.id()), max_descriptors) << deployment_.at(i).id;
            }
        };
        check();
        crowd_.clear();
        check();
    }

    world deployment_;

private:
    static void send_until_finished(const std::vector<hostile_client*>& clients,
                                    std::size_t piece_bytes) {
        auto progressed_at = runtime_clock::now();
        while (runtime_clock::now() - progressed_at < give_up_after &&
               !std::ranges::all_of(clients, &hostile_client::has_finished)) {
            bool has_progressed = false;
            for (auto* const each : clients) {
                has_progressed = each->send_some(piece_bytes) || has_progressed;
            }
            if (has_progressed) {
                progressed_at = runtime_clock::now();
            } else {
                std::this_thread::sleep_for(milliseconds(1));
            }
        }
    }

    static double peak_memory_mb(pid_t id) {
        std::ifstream status("/proc/" + std::to_string(id) + "/status");
        std::string line;
        while (std::getline(status, line)) {
            constexpr std::string_view name = "VmHWM:";
            constexpr double kb_per_mb = 1024;
            if (line.starts_with(name)) {
                return std::stod(line.substr(name.size())) / kb_per_mb;
            }
        }
        ADD_FAILURE() << "no VmHWM of process " << id;
        return 0;
    }

    static std::size_t descriptors(pid_t id) {
        const auto each =
            std::filesystem::directory_iterator("/proc/" + std::to_string(id) + "/fd");
        return static_cast<std::size_t>(std::distance(begin(each), end(each)));
    }

    boost::asio::io_context context_;
    std::vector<std::unique_ptr<hostile_client>> crowd_;
};

/** `count` bodies, of which all but `completed` stop just short of their end. */
std::vector<body_plan> make_plans(std::size_t count, std::size_t completed, body_plan plan) {
    std::vector<body_plan> plans(count, plan);
    for (std::size_t i = 0; i < completed; ++i) {
        plans[i].is_completed = true;
    }
    return plans;
}

constexpr std::size_t large_body_bytes = 24U << 20U;
constexpr std::size_t large_bodies = 16;
constexpr std::size_t completed_bodies = 2;

// The memory of a node must not grow with the number of callers that send large bodies of legal
// size and stop just short of their end.
TEST_F(hostile_clients, large_bodies_sent_whole_do_not_exhaust_memory) {
    send_crowd(make_plans(large_bodies, completed_bodies, {large_body_bytes}), 0);
    expect_bounded();
}

TEST_F(hostile_clients, large_bodies_sent_in_pieces_do_not_exhaust_memory) {
    constexpr std::size_t piece_bytes = 64U << 10U;
    send_crowd(make_plans(large_bodies, completed_bodies, {large_body_bytes}), piece_bytes);
    expect_bounded();
}

// The same for chunked bodies, whose length is not known before their end.
TEST_F(hostile_clients, bodies_in_large_chunks_do_not_exhaust_memory) {
    constexpr std::size_t chunk_bytes = 1U << 20U;
    constexpr std::size_t piece_bytes = 256U << 10U;
    send_crowd(make_plans(large_bodies, completed_bodies, {large_body_bytes, chunk_bytes}),
               piece_bytes);
    expect_bounded();
}

TEST_F(hostile_clients, bodies_in_small_chunks_do_not_exhaust_memory) {
    constexpr std::size_t chunk_bytes = 32;
    constexpr std::size_t body_bytes = 3U << 20U;
    constexpr std::size_t bodies = 64;
    constexpr std::size_t piece_bytes = 256U << 10U;
    send_crowd(make_plans(bodies, completed_bodies, {body_bytes, chunk_bytes}), piece_bytes);
    expect_bounded();
}

// Bodies far over MaxBodyBytes: rejected by their announced length, or at the limit.
TEST_F(hostile_clients, announced_bodies_over_the_limit_do_not_exhaust_memory) {
    constexpr std::size_t announced = 1U << 30U;
    constexpr std::size_t piece_bytes = 256U << 10U;
    send_crowd(make_plans(large_bodies, 0, {large_body_bytes, 0, false, announced}), piece_bytes);
    expect_bounded();
}

TEST_F(hostile_clients, chunked_bodies_over_the_limit_do_not_exhaust_memory) {
    constexpr std::size_t chunk_bytes = 1U << 20U;
    constexpr std::size_t body_bytes = 80U << 20U;
    constexpr std::size_t bodies = 8;
    constexpr std::size_t piece_bytes = 256U << 10U;
    send_crowd(make_plans(bodies, 0, {body_bytes, chunk_bytes}), piece_bytes);
    expect_bounded();
}

// One body of the largest legal size is served within the memory of the smallest host, at its entry
// and at the target's node: a bound on all bodies must not refuse a single one.
TEST_F(hostile_clients, a_single_body_of_the_largest_size_is_served_by_two_nodes) {
    const std::string body(max_body_bytes, 'x');
    EXPECT_EQ(
        deployment_
            .send_request(deployment_.at(0), "POST", "/back/x", deployment_.make_id(), 10'000, body)
            .answer.status,
        200);
    expect_bounded();
}

TEST_F(hostile_clients, a_single_body_of_the_largest_size_is_served_by_one_node) {
    const std::string body(max_body_bytes, 'x');
    EXPECT_EQ(deployment_
                  .send_request(deployment_.at(0), "POST", "/front/x", deployment_.make_id(),
                                10'000, body)
                  .answer.status,
              200);
    expect_bounded();
}

} // namespace
} // namespace lavenderhoist::platform_test
