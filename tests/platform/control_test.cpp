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
    world here;
    here.add_host("first");
    here.add_host("second");
    here.publish({{"/x/", "first"}, {"/y/", "second"}});
    ASSERT_TRUE(here.settle());
    here.publish({{"/x/", "second"}, {"/y/", "second"}});
    EXPECT_TRUE(wait_until(
        [&] {
            return here.ask(here.at(0), "GET", "/x/1", here.make_id()).answer.body ==
                   "target-2 ran /x/1";
        },
        std::chrono::seconds(1)));
}

TEST(platform_control, a_leaving_target_gets_nothing_after_its_acknowledgement) {
    world here;
    here.add_host("back");
    here.add_host("back");
    here.publish({{"/back/", "back"}});
    ASSERT_TRUE(here.settle());
    here.run_here([&] { here.at(0).target->leave(); });
    EXPECT_EQ(here.await([&] { return here.at(0).target->send_heartbeat(); }), 200);
    const auto before = here.run_here([&] { return here.at(0).target->executions().size(); });
    for (int i = 0; i < 20; ++i) {
        EXPECT_EQ(here.ask(here.at(0), "GET", "/back/x", here.make_id()).answer.status, 200);
    }
    EXPECT_EQ(here.run_here([&] { return here.at(0).target->executions().size(); }), before);
}

TEST(platform_control, a_sign_off_binds_a_restarted_node) {
    world here;
    here.add_host("back");
    here.add_host("back");
    here.publish({{"/back/", "back"}});
    ASSERT_TRUE(here.settle());
    EXPECT_EQ(here.await([&] { return here.at(0).target->sign_off(); }), 200);
    here.at(0).node->kill();
    here.start_node(here.at(0));
    ASSERT_TRUE(wait_until([&] { return here.ready_status(here.at(0)) == 200; }));
    // A heartbeat that was on its way when the target signed off.
    EXPECT_EQ(here.await([&] { return here.at(0).target->send_heartbeat(); }), 200);
    const auto before = here.run_here([&] { return here.at(0).target->executions().size(); });
    for (int i = 0; i < 20; ++i) {
        here.ask(here.at(0), "GET", "/back/x", here.make_id());
    }
    EXPECT_EQ(here.run_here([&] { return here.at(0).target->executions().size(); }), before);
}

TEST(platform_control, leaves_are_acknowledged_while_the_store_is_away) {
    world here;
    here.add_host("back");
    here.publish({{"/back/", "back"}});
    ASSERT_TRUE(here.settle());
    here.run_here([&] {
        here.store().injected_faults().status = 503;
        here.at(0).target->leave();
    });
    EXPECT_EQ(here.await([&] { return here.at(0).target->send_heartbeat(); }), 200);
}

TEST(platform_control, a_node_started_while_the_store_is_away_serves_with_what_others_know) {
    world here;
    here.add_host("back");
    here.add_host("back");
    here.publish({{"/back/", "back"}});
    ASSERT_TRUE(here.settle());
    here.run_here([&] { here.store().injected_faults().status = 503; });
    here.at(1).node->kill();
    here.start_node(here.at(1));
    ASSERT_TRUE(wait_until([&] { return here.ready_status(here.at(1)) == 200; }));
    EXPECT_TRUE(wait_until([&] {
        return here.ask(here.at(1), "GET", "/back/x", here.make_id()).answer.status == 200;
    }));
}

TEST(platform_control, records_that_have_expired_are_listed_again) {
    world here;
    here.add_host("back");
    here.publish({{"/back/", "back"}});
    ASSERT_TRUE(here.settle());
    here.run_here([&] { here.store().injected_faults().status = 503; });
    ASSERT_TRUE(wait_until([&] { return true; }));
    here.publish({{"/back/", "back"}, {"/late/", "back"}});
    here.run_here([&] {
        here.store().compact();
        here.store().injected_faults().status = 0;
    });
    EXPECT_TRUE(wait_until([&] {
        return here.ask(here.at(0), "GET", "/late/x", here.make_id()).answer.status == 200;
    }));
}

TEST(platform_control, a_lost_answer_to_a_wait_is_made_up_for_by_another_node) {
    world here;
    here.add_host("back");
    here.add_host("back");
    here.publish({{"/back/", "back"}});
    ASSERT_TRUE(here.settle());
    here.run_here([&] { here.store().injected_faults().unanswered_reads = 1; });
    here.publish({{"/back/", "back"}, {"/late/", "back"}});
    for (std::size_t i = 0; i < here.size(); ++i) {
        EXPECT_TRUE(wait_until(
            [&] {
                return here.ask(here.at(i), "GET", "/late/x", here.make_id()).answer.status == 200;
            },
            std::chrono::seconds(2)))
            << "node " << i;
    }
}

TEST(platform_control, a_write_without_an_answer_is_made_again) {
    world here;
    here.add_host("back");
    here.publish({{"/back/", "back"}});
    ASSERT_TRUE(here.settle());
    here.run_here([&] {
        here.store().injected_faults().drops_append_answers = true;
        here.at(0).target->leave();
    });
    EXPECT_EQ(here.await([&] { return here.at(0).target->send_heartbeat(); }), 200);
    EXPECT_NE(here.run_here([&] { return here.store().newest_host_record(here.at(0).id); })
                  .find("leaving"),
              std::string::npos);
}

TEST(platform_control, a_stopping_node_finishes_what_it_has_and_ends_in_time) {
    world here;
    here.add_host("back", "a", {}, milliseconds(800));
    here.publish({{"/back/", "back", false}});
    ASSERT_TRUE(here.settle());
    const auto id = here.make_id();
    auto pending =
        std::async(std::launch::async, [&] { return here.ask(here.at(0), "POST", "/back/x", id); });
    ASSERT_TRUE(wait_until([&] { return here.executions(id) == 1; }));
    here.at(0).node->send(SIGTERM);
    EXPECT_TRUE(
        wait_until([&] { return here.ready_status(here.at(0)) == 503; }, std::chrono::seconds(1)));
    EXPECT_EQ(pending.get().answer.status, 200);
    // Callers go on for two seconds, until they have seen twice that the node is not ready.
    EXPECT_EQ(here.ask(here.at(0), "POST", "/back/x", here.make_id()).answer.status, 200);
    EXPECT_EQ(here.at(0).node->wait(std::chrono::seconds(6)), 0);
}

/** Callers of one node that ask all the time, and what was wrong with their answers. */
class steady_callers {
public:
    steady_callers(world& where, const host& through, const std::string& path) {
        for (int i = 0; i < 4; ++i) {
            threads_.emplace_back([&where, &through, path, this] { ask(where, through, path); });
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

    int refused_and_ran() const { return refused_and_ran_; }
    int cut() const { return cut_; } ///< Ran, and the caller got no answer of the target.

private:
    void ask(world& where, const host& through, const std::string& path) {
        while (!stop_) {
            std::string id;
            {
                const std::lock_guard<std::mutex> lock(ids_);
                id = where.make_id();
            }
            const auto result = where.ask(through, "POST", path, id);
            const int ran = where.executions(id);
            const bool has_answer = !result.code && result.answer.status == 200;
            refused_and_ran_ += !result.code && result.answer.status == 503 && ran > 0 ? 1 : 0;
            cut_ += !has_answer && ran > 0 ? 1 : 0;
        }
    }

    std::atomic<bool> stop_{false};
    std::atomic<int> refused_and_ran_{0};
    std::atomic<int> cut_{0};
    std::mutex ids_;
    std::vector<std::thread> threads_;
};

// Callers that never stop: the node refuses them after some time, as not run, and ends in time.
TEST(platform_control, a_stopping_node_ends_in_time_under_steady_load) {
    world here;
    here.add_host("back", "a", {}, milliseconds(100));
    here.publish({{"/back/", "back", false}});
    ASSERT_TRUE(here.settle());
    steady_callers callers(here, here.at(0), "/back/x");
    here.at(0).node->send(SIGTERM);
    EXPECT_EQ(here.at(0).node->wait(std::chrono::seconds(6)), 0);
    callers.stop();
    EXPECT_EQ(callers.refused_and_ran(), 0);
    EXPECT_EQ(callers.cut(), 0);
}

// The only node of a service stops while another node goes on sending streams to it.
TEST(platform_control, a_stopping_node_cuts_no_stream_of_another_node) {
    world here;
    here.add_host("front");
    here.add_host("back", "a", {}, milliseconds(60));
    here.publish({{"/back/", "back", false}});
    ASSERT_TRUE(here.settle());
    steady_callers callers(here, here.at(0), "/back/x");
    here.at(1).node->send(SIGTERM);
    EXPECT_EQ(here.at(1).node->wait(std::chrono::seconds(6)), 0);
    callers.stop();
    EXPECT_EQ(callers.refused_and_ran(), 0);
    EXPECT_EQ(callers.cut(), 0);
}

TEST(platform_control, signals_to_read_settings_again_end_nothing) {
    world here;
    here.add_host("back", "a", {}, milliseconds(300));
    here.publish({{"/back/", "back", false}});
    ASSERT_TRUE(here.settle());
    auto pending = std::async(std::launch::async, [&] {
        return here.ask(here.at(0), "POST", "/back/x", here.make_id());
    });
    here.at(0).node->send(SIGHUP);
    EXPECT_EQ(pending.get().answer.status, 200);
    EXPECT_TRUE(here.at(0).node->is_running());
}

} // namespace
} // namespace lavenderhoist::platform_test
