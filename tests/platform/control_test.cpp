#include "world.hpp"

#include <gtest/gtest.h>

#include <atomic>
#include <csignal>
#include <future>
#include <mutex>
#include <thread>
#include <vector>

namespace lavenderhoist::platform_test {
namespace {

TEST(platform_control, a_changed_route_is_in_force_within_a_second) {
    world deployment;
    deployment.add_host("first");
    deployment.add_host("second");
    deployment.publish({{"/x/", "first"}, {"/y/", "second"}});
    ASSERT_TRUE(deployment.wait_until_ready());
    deployment.publish({{"/x/", "second"}, {"/y/", "second"}});
    EXPECT_TRUE(wait_until(
        [&] {
            return deployment.send_request(deployment.at(0), "GET", "/x/1", deployment.make_id())
                       .answer.body == "target-2 ran /x/1";
        },
        std::chrono::seconds(1)));
}

TEST(platform_control, a_leaving_target_gets_nothing_after_its_acknowledgement) {
    world deployment;
    deployment.add_host("back");
    deployment.add_host("back");
    deployment.publish({{"/back/", "back"}});
    ASSERT_TRUE(deployment.wait_until_ready());
    deployment.run_on_stub_thread([&] { deployment.at(0).target->leave(); });
    EXPECT_EQ(deployment.await([&] { return deployment.at(0).target->send_heartbeat(); }), 200);
    const auto before =
        deployment.run_on_stub_thread([&] { return deployment.at(0).target->executions().size(); });
    for (int i = 0; i < 20; ++i) {
        EXPECT_EQ(deployment.send_request(deployment.at(0), "GET", "/back/x", deployment.make_id())
                      .answer.status,
                  200);
    }
    EXPECT_EQ(
        deployment.run_on_stub_thread([&] { return deployment.at(0).target->executions().size(); }),
        before);
}

TEST(platform_control, a_sign_off_binds_a_restarted_node) {
    world deployment;
    deployment.add_host("back");
    deployment.add_host("back");
    deployment.publish({{"/back/", "back"}});
    ASSERT_TRUE(deployment.wait_until_ready());
    EXPECT_EQ(deployment.await([&] { return deployment.at(0).target->sign_off(); }), 200);
    deployment.at(0).node->kill();
    deployment.start_node(deployment.at(0));
    ASSERT_TRUE(wait_until([&] { return deployment.ready_status(deployment.at(0)) == 200; }));
    // A heartbeat that was in flight when the target announced its departure.
    EXPECT_EQ(deployment.await([&] { return deployment.at(0).target->send_heartbeat(); }), 200);
    const auto before =
        deployment.run_on_stub_thread([&] { return deployment.at(0).target->executions().size(); });
    for (int i = 0; i < 20; ++i) {
        deployment.send_request(deployment.at(0), "GET", "/back/x", deployment.make_id());
    }
    EXPECT_EQ(
        deployment.run_on_stub_thread([&] { return deployment.at(0).target->executions().size(); }),
        before);
}

TEST(platform_control, leaves_are_acknowledged_while_the_store_is_away) {
    world deployment;
    deployment.add_host("back");
    deployment.publish({{"/back/", "back"}});
    ASSERT_TRUE(deployment.wait_until_ready());
    deployment.run_on_stub_thread([&] {
        deployment.store().injected_faults().status = 503;
        deployment.at(0).target->leave();
    });
    EXPECT_EQ(deployment.await([&] { return deployment.at(0).target->send_heartbeat(); }), 200);
}

TEST(platform_control, a_node_started_while_the_store_is_away_serves_with_what_others_know) {
    world deployment;
    deployment.add_host("back");
    deployment.add_host("back");
    deployment.publish({{"/back/", "back"}});
    ASSERT_TRUE(deployment.wait_until_ready());
    deployment.run_on_stub_thread([&] { deployment.store().injected_faults().status = 503; });
    deployment.at(1).node->kill();
    deployment.start_node(deployment.at(1));
    ASSERT_TRUE(wait_until([&] { return deployment.ready_status(deployment.at(1)) == 200; }));
    EXPECT_TRUE(wait_until([&] {
        return deployment.send_request(deployment.at(1), "GET", "/back/x", deployment.make_id())
                   .answer.status == 200;
    }));
}

TEST(platform_control, records_that_have_expired_are_listed_again) {
    world deployment;
    deployment.add_host("back");
    deployment.publish({{"/back/", "back"}});
    ASSERT_TRUE(deployment.wait_until_ready());
    deployment.run_on_stub_thread([&] { deployment.store().injected_faults().status = 503; });
    ASSERT_TRUE(wait_until([&] { return true; }));
    deployment.publish({{"/back/", "back"}, {"/late/", "back"}});
    deployment.run_on_stub_thread([&] {
        deployment.store().compact();
        deployment.store().injected_faults().status = 0;
    });
    EXPECT_TRUE(wait_until([&] {
        return deployment.send_request(deployment.at(0), "GET", "/late/x", deployment.make_id())
                   .answer.status == 200;
    }));
}

/** Restores the store from its copy, with the store unavailable for a moment before. */
void restore_store(world& deployment) {
    deployment.run_on_stub_thread([&] { deployment.store().injected_faults().status = 503; });
    std::this_thread::sleep_for(milliseconds(300));
    deployment.run_on_stub_thread([&] {
        deployment.store().restore_copy();
        deployment.store().injected_faults().status = 0;
    });
}

bool store_has(world& deployment, const host& which, const std::string& text) {
    return deployment.run_on_stub_thread([&] {
        return deployment.store().newest_host_record(which.id).find(text) != std::string::npos;
    });
}

TEST(platform_control, a_leave_that_a_restored_store_has_lost_is_published_again) {
    world deployment;
    deployment.add_host("back");
    deployment.add_host("back");
    deployment.publish({{"/back/", "back"}});
    ASSERT_TRUE(deployment.wait_until_ready());
    deployment.run_on_stub_thread([&] {
        deployment.store().take_copy();
        deployment.at(0).target->leave();
    });
    EXPECT_EQ(deployment.await([&] { return deployment.at(0).target->send_heartbeat(); }), 200);
    ASSERT_TRUE(store_has(deployment, deployment.at(0), "leaving"));
    restore_store(deployment);
    EXPECT_TRUE(wait_until([&] { return store_has(deployment, deployment.at(0), "leaving"); },
                           std::chrono::seconds(3)));
}

TEST(platform_control, a_host_that_a_restored_store_has_lost_is_published_again) {
    world deployment;
    deployment.add_host("back");
    deployment.run_on_stub_thread([&] { deployment.store().take_copy(); });
    deployment.add_host("late");
    deployment.publish({{"/back/", "back"}, {"/late/", "late"}});
    ASSERT_TRUE(deployment.wait_until_ready());
    restore_store(deployment);
    EXPECT_TRUE(wait_until([&] { return store_has(deployment, deployment.at(1), "ready"); },
                           std::chrono::seconds(3)));
}

TEST(platform_control, records_at_offsets_that_are_given_out_again_reach_every_node) {
    world deployment;
    deployment.add_host("back");
    deployment.add_host("back");
    deployment.publish({{"/back/", "back"}});
    ASSERT_TRUE(deployment.wait_until_ready());
    deployment.run_on_stub_thread([&] { deployment.store().take_copy(); });
    // The lost records give the nodes higher offsets than those of the records after the restore.
    deployment.at(0).node->kill();
    deployment.start_node(deployment.at(0));
    ASSERT_TRUE(wait_until([&] { return deployment.ready_status(deployment.at(0)) == 200; }));
    deployment.publish({{"/back/", "back"}, {"/later/", "back"}});
    restore_store(deployment);
    deployment.run_on_stub_thread([&] { deployment.at(0).target->leave(); });
    EXPECT_EQ(deployment.await([&] { return deployment.at(0).target->send_heartbeat(); }), 200);
    deployment.publish({{"/back/", "back"}, {"/last/", "back"}});
    for (std::size_t i = 0; i < deployment.size(); ++i) {
        EXPECT_TRUE(wait_until(
            [&] {
                return deployment
                           .send_request(deployment.at(i), "GET", "/last/x", deployment.make_id())
                           .answer.status == 200;
            },
            std::chrono::seconds(2)))
            << "node " << i;
    }
    const auto before =
        deployment.run_on_stub_thread([&] { return deployment.at(0).target->executions().size(); });
    for (int i = 0; i < 20; ++i) {
        deployment.send_request(deployment.at(1), "GET", "/back/x", deployment.make_id());
    }
    EXPECT_EQ(
        deployment.run_on_stub_thread([&] { return deployment.at(0).target->executions().size(); }),
        before);
}

TEST(platform_control, a_lost_answer_to_a_wait_is_made_up_for_by_another_node) {
    world deployment;
    deployment.add_host("back");
    deployment.add_host("back");
    deployment.publish({{"/back/", "back"}});
    ASSERT_TRUE(deployment.wait_until_ready());
    deployment.run_on_stub_thread(
        [&] { deployment.store().injected_faults().unanswered_reads = 1; });
    deployment.publish({{"/back/", "back"}, {"/late/", "back"}});
    for (std::size_t i = 0; i < deployment.size(); ++i) {
        EXPECT_TRUE(wait_until(
            [&] {
                return deployment
                           .send_request(deployment.at(i), "GET", "/late/x", deployment.make_id())
                           .answer.status == 200;
            },
            std::chrono::seconds(2)))
            << "node " << i;
    }
}

TEST(platform_control, a_write_without_an_answer_is_made_again) {
    world deployment;
    deployment.add_host("back");
    deployment.publish({{"/back/", "back"}});
    ASSERT_TRUE(deployment.wait_until_ready());
    deployment.run_on_stub_thread([&] {
        deployment.store().injected_faults().drops_append_answers = true;
        deployment.at(0).target->leave();
    });
    EXPECT_EQ(deployment.await([&] { return deployment.at(0).target->send_heartbeat(); }), 200);
    EXPECT_NE(deployment
                  .run_on_stub_thread(
                      [&] { return deployment.store().newest_host_record(deployment.at(0).id); })
                  .find("leaving"),
              std::string::npos);
}

TEST(platform_control, a_stopping_node_finishes_what_it_has_and_ends_in_time) {
    world deployment;
    deployment.add_host("back", "a", {}, milliseconds(800));
    deployment.publish({{"/back/", "back", false}});
    ASSERT_TRUE(deployment.wait_until_ready());
    const auto id = deployment.make_id();
    auto pending = std::async(std::launch::async, [&] {
        return deployment.send_request(deployment.at(0), "POST", "/back/x", id);
    });
    ASSERT_TRUE(wait_until([&] { return deployment.executions(id) == 1; }));
    deployment.at(0).node->send(SIGTERM);
    EXPECT_TRUE(wait_until([&] { return deployment.ready_status(deployment.at(0)) == 503; },
                           std::chrono::seconds(1)));
    EXPECT_EQ(pending.get().answer.status, 200);
    // Callers send for two more seconds, until two readiness checks have failed.
    EXPECT_EQ(deployment.send_request(deployment.at(0), "POST", "/back/x", deployment.make_id())
                  .answer.status,
              200);
    EXPECT_EQ(deployment.at(0).node->wait(std::chrono::seconds(6)), 0);
}

/** Callers that send requests to one node without pause, and counts of their wrong answers. */
class steady_callers {
public:
    steady_callers(world& deployment, const host& through, const std::string& path) {
        for (int i = 0; i < 4; ++i) {
            threads_.emplace_back(
                [&deployment, &through, path, this] { send_requests(deployment, through, path); });
        }
    }
    steady_callers(const steady_callers&) = delete;
    steady_callers& operator=(const steady_callers&) = delete;
    ~steady_callers() { stop(); }

    void stop() {
        stop_ = true;
        for (auto& each : threads_) {
            if (each.joinable()) {
                each.join();
            }
        }
    }

    /** Requests that were refused with 503 but were executed. */
    int refused_but_executed() const { return refused_but_executed_; }
    /** Requests that were executed but whose caller got no answer of the target. */
    int executed_without_answer() const { return executed_without_answer_; }

private:
    void send_requests(world& deployment, const host& through, const std::string& path) {
        while (!stop_) {
            std::string id;
            {
                const std::lock_guard<std::mutex> lock(id_mutex_);
                id = deployment.make_id();
            }
            const auto result = deployment.send_request(through, "POST", path, id);
            const int ran = deployment.executions(id);
            const bool has_answer = !result.code && result.answer.status == 200;
            refused_but_executed_ += !result.code && result.answer.status == 503 && ran > 0 ? 1 : 0;
            executed_without_answer_ += !has_answer && ran > 0 ? 1 : 0;
        }
    }

    std::atomic<bool> stop_{false};
    std::atomic<int> refused_but_executed_{0};
    std::atomic<int> executed_without_answer_{0};
    std::mutex id_mutex_;
    std::vector<std::thread> threads_;
};

// Under steady load a stopping node refuses requests as not run after some time, and exits in time.
TEST(platform_control, a_stopping_node_ends_in_time_under_steady_load) {
    world deployment;
    deployment.add_host("back", "a", {}, milliseconds(100));
    deployment.publish({{"/back/", "back", false}});
    ASSERT_TRUE(deployment.wait_until_ready());
    steady_callers callers(deployment, deployment.at(0), "/back/x");
    deployment.at(0).node->send(SIGTERM);
    EXPECT_EQ(deployment.at(0).node->wait(std::chrono::seconds(6)), 0);
    callers.stop();
    EXPECT_EQ(callers.refused_but_executed(), 0);
    EXPECT_EQ(callers.executed_without_answer(), 0);
}

// The only node of a service stops while a peer node keeps sending streams to it.
TEST(platform_control, a_stopping_node_cuts_no_stream_of_another_node) {
    world deployment;
    deployment.add_host("front");
    deployment.add_host("back", "a", {}, milliseconds(60));
    deployment.publish({{"/back/", "back", false}});
    ASSERT_TRUE(deployment.wait_until_ready());
    steady_callers callers(deployment, deployment.at(0), "/back/x");
    deployment.at(1).node->send(SIGTERM);
    EXPECT_EQ(deployment.at(1).node->wait(std::chrono::seconds(6)), 0);
    callers.stop();
    EXPECT_EQ(callers.refused_but_executed(), 0);
    EXPECT_EQ(callers.executed_without_answer(), 0);
}

void slow_down(world& deployment, const host& which, duration slowdown) {
    deployment.run_on_stub_thread([&] { which.target->injected_faults().slowdown = slowdown; });
}

/** What the caller of a request gets that is sent late in the grace time of its node. */
net::exchange_result send_to_stopping_node(world& deployment) {
    deployment.at(0).node->send(SIGTERM);
    std::this_thread::sleep_for(milliseconds(2'500));
    return deployment.send_request(deployment.at(0), "POST", "/front/x", deployment.make_id(),
                                   5'000);
}

// A request that came late in the grace time was cut at its end, without an answer.
TEST(platform_control, a_request_late_in_the_grace_time_ends_with_an_answer) {
    world deployment;
    deployment.add_host("front");
    deployment.publish({{"/front/", "front", false, 5'000}});
    ASSERT_TRUE(deployment.wait_until_ready());
    slow_down(deployment, deployment.at(0), std::chrono::seconds(4));
    const auto result = send_to_stopping_node(deployment);
    EXPECT_FALSE(result.code) << result.code.message();
    EXPECT_EQ(result.answer.status, 504);
    EXPECT_EQ(deployment.at(0).node->wait(std::chrono::seconds(6)), 0);
}

// The same for a call that a request makes late in the grace time.
TEST(platform_control, a_call_late_in_the_grace_time_ends_with_an_answer) {
    world deployment;
    deployment.add_host("front", "a", {{"/front/x", world::host_name, "/back/x"}});
    deployment.add_host("back");
    deployment.publish({{"/front/", "front", false, 5'000}, {"/back/", "back", true, 4'000}});
    ASSERT_TRUE(deployment.wait_until_ready());
    slow_down(deployment, deployment.at(0), std::chrono::seconds(1));
    slow_down(deployment, deployment.at(1), milliseconds(2'500));
    const auto result = send_to_stopping_node(deployment);
    EXPECT_FALSE(result.code) << result.code.message();
    EXPECT_EQ(result.answer.status, 500);
    EXPECT_EQ(deployment.at(0).node->wait(std::chrono::seconds(6)), 0);
}

TEST(platform_control, signals_to_read_settings_again_end_nothing) {
    world deployment;
    deployment.add_host("back", "a", {}, milliseconds(300));
    deployment.publish({{"/back/", "back", false}});
    ASSERT_TRUE(deployment.wait_until_ready());
    auto pending = std::async(std::launch::async, [&] {
        return deployment.send_request(deployment.at(0), "POST", "/back/x", deployment.make_id());
    });
    deployment.at(0).node->send(SIGHUP);
    EXPECT_EQ(pending.get().answer.status, 200);
    EXPECT_TRUE(deployment.at(0).node->is_running());
}

} // namespace
} // namespace lavenderhoist::platform_test
