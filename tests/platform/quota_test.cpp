// Organisations that send more than their quota, at all nodes of a deployment.

#include "world.hpp"

#include "lavenderhoist/core/hash.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <thread>
#include <utility>
#include <vector>

namespace lavenderhoist::platform_test {
namespace {

constexpr int status_ok = 200;
constexpr int status_too_many = 429;

constexpr double rate = 40;
constexpr double burst = 10;
constexpr auto window = std::chrono::seconds(5);

/** Of the platform's rule: no window may hold more requests of an organisation. */
constexpr double max_in_window = (rate * 5 + burst) * 1.1 + 20;

class platform_quota : public testing::Test {
protected:
    platform_quota() {
        for (const char* data_centre : {"a", "a", "b", "b"}) {
            deployment_.add_host("back", data_centre);
        }
        deployment_.set_organisations(
            {{"north", {"key-of-north"}, rate, burst}, {"south", {"key-of-south"}}});
        deployment_.publish({{"/back/", "back"}});
        deployment_.set_key("key-of-south");
    }

    struct sent {
        int ok{0};
        int too_many{0};
        int other{0};
    };

    /** Sends requests at every node at once, one after the other at each. */
    sent send_everywhere(duration length, duration pause) {
        std::vector<sent> counts(deployment_.size());
        std::vector<std::thread> senders;
        const auto until = runtime_clock::now() + length;
        for (std::size_t i = 0; i < deployment_.size(); ++i) {
            senders.emplace_back([this, i, until, pause, &counts] {
                while (runtime_clock::now() < until) {
                    const auto result = deployment_.send_request(deployment_.at(i), "GET",
                                                                 "/back/x", deployment_.make_id());
                    const int status = result.code ? 0 : result.answer.status;
                    counts[i].ok += status == status_ok ? 1 : 0;
                    counts[i].too_many += status == status_too_many ? 1 : 0;
                    counts[i].other += status != status_ok && status != status_too_many ? 1 : 0;
                    std::this_thread::sleep_for(pause);
                }
            });
        }
        for (auto& sender : senders) {
            sender.join();
        }
        sent total;
        for (const auto& each : counts) {
            total.ok += each.ok;
            total.too_many += each.too_many;
            total.other += each.other;
        }
        return total;
    }

    /** The most requests of `north` that targets began to run within `window`. */
    std::ptrdiff_t busiest_window() {
        std::vector<time_point> runs;
        deployment_.run_on_stub_thread([&] {
            for (std::size_t i = 0; i < deployment_.size(); ++i) {
                for (const auto& each : deployment_.at(i).target->executions()) {
                    if (each.organisation == "north") {
                        runs.push_back(each.started_at);
                    }
                }
            }
        });
        std::ranges::sort(runs);
        std::ptrdiff_t busiest = 0;
        for (auto first = runs.begin(); first != runs.end(); ++first) {
            busiest = std::max(busiest, std::ranges::lower_bound(runs, *first + window) - first);
        }
        return busiest;
    }

    world deployment_;
};

} // namespace

TEST_F(platform_quota, holds_over_all_nodes_and_is_used) {
    ASSERT_TRUE(deployment_.wait_until_ready());
    deployment_.set_key("key-of-north");
    const auto total = send_everywhere(std::chrono::seconds(8), duration(0));
    EXPECT_LE(busiest_window(), max_in_window);
    EXPECT_GT(total.ok, rate * 5);
    EXPECT_GT(total.too_many, total.ok);
    EXPECT_EQ(total.other, 0);
}

TEST_F(platform_quota, refuses_nothing_within_it_and_no_other_organisation) {
    ASSERT_TRUE(deployment_.wait_until_ready());
    deployment_.set_key("key-of-north");
    const auto within = send_everywhere(std::chrono::seconds(3), milliseconds(250));
    EXPECT_EQ(within.too_many, 0);
    send_everywhere(std::chrono::seconds(2), duration(0));
    deployment_.set_key("key-of-south");
    const auto others = send_everywhere(std::chrono::seconds(1), duration(0));
    EXPECT_EQ(others.too_many, 0);
    EXPECT_GT(others.ok, 0);
}

TEST_F(platform_quota, holds_after_the_nodes_that_count_have_gone) {
    ASSERT_TRUE(deployment_.wait_until_ready());
    deployment_.set_key("key-of-north");
    std::thread killer([this] {
        std::this_thread::sleep_for(std::chrono::seconds(3));
        for (const std::size_t first : {0, 2}) {
            auto& one = deployment_.at(first);
            auto& other = deployment_.at(first + 1);
            const auto order = [](const host& each) { return stable_hash(each.id); };
            (order(one) < order(other) ? one : other).node->kill();
        }
    });
    send_everywhere(std::chrono::seconds(9), duration(0));
    killer.join();
    EXPECT_LE(busiest_window(), max_in_window);
}

} // namespace lavenderhoist::platform_test
