#include "world.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <future>
#include <thread>
#include <vector>

namespace lavenderhoist::platform_test {
namespace {

/** A request is quarantined everywhere within this time after it has ended its third target. */
constexpr auto stability_time = std::chrono::seconds(3);

/** How many times such a request may still reach targets after that. */
constexpr int max_late_runs = 3;

constexpr std::size_t ends_until_quarantine = 3;
constexpr auto down_time = milliseconds(300);
constexpr const char* crash_path = "/back/crash/1";

/** Hosts of one service whose targets end as soon as they begin to run `crash_path`, and are back
 * after `down_time` as new starts. */
class crashing_targets {
public:
    explicit crashing_targets(std::size_t hosts) {
        for (std::size_t i = 0; i < hosts; ++i) {
            deployment_.add_host("back", i % 2 == 0 ? "a" : "b", {}, milliseconds(40));
            auto& added = deployment_.at(i);
            deployment_.run_on_stub_thread([&] {
                auto& faults = added.target->injected_faults();
                faults.crash_prefix = "/back/crash/";
                faults.on_crash = [this, &added] { end_target(added); };
            });
        }
        deployment_.publish({{"/back/", "back"}});
    }

    world& deployment() noexcept { return deployment_; }

    /** \brief The target's process ends, whatever it is running. To be called on the stubs' thread.
     */
    void end_target(host& which) {
        if (!which.to_target->is_listening()) {
            return; // has ended already
        }
        which.to_target->close_listener();
        const auto id = which.target->settings().id + "r";
        deployment_.after(down_time, [&which, id] {
            which.target->restart(id);
            which.to_target->reopen_listener();
        });
    }

    net::exchange_result send(std::size_t through, const std::string& path) {
        return deployment_.send_request(deployment_.at(through % deployment_.size()), "GET", path,
                                        deployment_.make_id(), 500);
    }

    /** \brief Sends the request at every node in turn for a while. */
    void send_for(duration length) {
        const auto end = runtime_clock::now() + length;
        for (std::size_t turn = 0; runtime_clock::now() < end; ++turn) {
            send(turn, crash_path);
            std::this_thread::sleep_for(milliseconds(30));
        }
    }

    /** \brief When targets began to run the request, in order. */
    std::vector<time_point> runs() {
        std::vector<time_point> found;
        deployment_.run_on_stub_thread([&] {
            for (std::size_t i = 0; i < deployment_.size(); ++i) {
                for (const auto& each : deployment_.at(i).target->executions()) {
                    if (each.path == crash_path) {
                        found.push_back(each.started_at);
                    }
                }
            }
        });
        std::ranges::sort(found);
        return found;
    }

    /** \brief Runs later than `stability_time` after the third one. */
    std::ptrdiff_t late_runs() {
        const auto all = runs();
        if (all.size() <= ends_until_quarantine) {
            return 0;
        }
        const auto bound = all[ends_until_quarantine - 1] + stability_time;
        return std::ranges::count_if(all, [bound](time_point each) { return each > bound; });
    }

private:
    world deployment_;
};

TEST(platform_crashing_request, is_not_sent_on_after_three_targets_ended_under_it) {
    crashing_targets targets(4);
    ASSERT_TRUE(targets.deployment().wait_until_ready());
    targets.send_for(std::chrono::seconds(6));
    EXPECT_LE(targets.runs().size(), 2U); // one after the other: it ends at most two targets
    EXPECT_LE(targets.late_runs(), max_late_runs) << targets.runs().size() << " runs";
}

TEST(platform_crashing_request, is_not_sent_on_while_the_store_is_away) {
    crashing_targets targets(4);
    ASSERT_TRUE(targets.deployment().wait_until_ready());
    targets.deployment().run_on_stub_thread(
        [&] { targets.deployment().store().injected_faults().unresponsive = true; });
    targets.send_for(std::chrono::seconds(6));
    EXPECT_LE(targets.late_runs(), max_late_runs) << targets.runs().size() << " runs";
}

TEST(platform_crashing_request, is_not_sent_on_after_all_nodes_were_restarted) {
    crashing_targets targets(4);
    auto& deployment = targets.deployment();
    ASSERT_TRUE(deployment.wait_until_ready());
    targets.send_for(std::chrono::seconds(3));
    std::this_thread::sleep_for(std::chrono::seconds(1));
    for (std::size_t i = 0; i < deployment.size(); ++i) {
        deployment.at(i).node->kill();
    }
    for (std::size_t i = 0; i < deployment.size(); ++i) {
        deployment.start_node(deployment.at(i));
    }
    ASSERT_TRUE(deployment.wait_until_ready());
    targets.send_for(std::chrono::seconds(3));
    EXPECT_LE(targets.late_runs(), max_late_runs) << targets.runs().size() << " runs";
}

// Most of the requests that a target runs as it ends have nothing to do with that.
TEST(platform_crashing_request, does_not_take_others_with_it_that_were_at_work_beside_it) {
    crashing_targets targets(3);
    ASSERT_TRUE(targets.deployment().wait_until_ready());
    constexpr int readers = 3;
    for (int round = 0; round < 4; ++round) {
        std::vector<std::future<net::exchange_result>> pending;
        for (std::size_t i = 0; i < readers; ++i) {
            pending.push_back(
                std::async(std::launch::async, [&, i] { return targets.send(i, "/back/read"); }));
        }
        std::this_thread::sleep_for(milliseconds(20));
        targets.deployment().run_on_stub_thread([&] {
            targets.end_target(targets.deployment().at(static_cast<std::size_t>(round) % readers));
        });
        for (auto& each : pending) {
            each.get();
        }
        std::this_thread::sleep_for(down_time + milliseconds(500));
    }
    for (std::size_t i = 0; i < readers; ++i) {
        EXPECT_EQ(targets.send(i, "/back/read").answer.status, 200) << "node " << i;
    }
}

} // namespace
} // namespace lavenderhoist::platform_test
