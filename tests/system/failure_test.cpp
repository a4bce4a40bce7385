// Killed and paused nodes, log outages and concurrent publishing, with nodes in separate processes:
// the outcomes that callers received must agree with the executions that the targets recorded.

#include "fixture.hpp"

#include <gtest/gtest.h>

#include <csignal>
#include <map>
#include <thread>

using namespace lavenderhoist;
using namespace lavenderhoist::system_test;

class system_failure : public testing::Test {
protected:
    void SetUp() override {
        deployment = std::make_unique<harness::deployment>(binaries(), chain_of_two());
        ASSERT_TRUE(deployment->start());
        ASSERT_TRUE(wait_for_owners(3)) << describe_owners();
    }

    /** The order status of each owner, for failure messages. */
    std::string describe_owners() {
        std::string owners;
        for (const auto* const one : deployment->hosts_of("barriers")) {
            const auto status = deployment->admin_get(*one, "/v1/status");
            owners += "\n" + one->id + " " + boost::json::serialize(status.at("orders"));
        }
        return owners;
    }

    bool wait_for_owners(std::size_t count) {
        return harness::wait_until([&] { return deployment->has_ready_orders("barriers", count); },
                                   std::chrono::seconds(20));
    }

    /** A host of `permits`, whose node no test stops while it is in use. */
    harness::host& entry() { return deployment->hosts().front(); }

    /** Sends orders for `length`, each twice, to the hosts of `permits` in turn.
     * \returns the outcomes by key. */
    std::map<std::string, std::vector<std::string>> send_orders(duration length) {
        std::map<std::string, std::vector<std::string>> outcomes;
        const auto until = runtime_clock::now() + length;
        std::size_t next = 0;
        while (runtime_clock::now() < until) {
            const auto key = make_key();
            for (int i = 0; i < 2; ++i) {
                const auto& through =
                    deployment->hosts()[next++ % 2]; // no test stops these hosts meanwhile
                const auto result =
                    send_request(through, "POST", "/barriers/orders", "close",
                                 {{"idempotency-key", key}, {"lh-timeout-ms", "700"}});
                outcomes[key].push_back(result.code ? "lost" : outcome_of(result));
            }
        }
        return outcomes;
    }

    /** Checks the outcomes that callers received against the executions that targets recorded. */
    void check_outcomes(const std::map<std::string, std::vector<std::string>>& outcomes,
                        std::size_t min_completed) {
        std::map<std::string, int> runs;
        for (const auto* const one : deployment->hosts_of("barriers")) {
            const auto record = deployment->target_get(*one, "/_stub/record");
            if (!record.is_object()) {
                continue; // the target was killed and its record is lost
            }
            for (const auto& execution : record.at("executions").as_array()) {
                ++runs[std::string(execution.at(0).as_string())];
            }
        }
        std::size_t completed = 0;
        for (const auto& [key, key_outcomes] : outcomes) {
            EXPECT_LE(runs[key], 1) << key;
            const bool is_refused = std::ranges::all_of(key_outcomes, [](const std::string& one) {
                return one == "refused" || one == "not-run";
            });
            if (is_refused) {
                EXPECT_EQ(runs[key], 0) << key << " was reported as not run";
            }
            completed += std::ranges::count(key_outcomes, "completed") > 0 ? 1U : 0U;
        }
        EXPECT_GE(completed, min_completed) << "completed, of " << outcomes.size();
    }

    std::unique_ptr<harness::deployment> deployment;
};

TEST_F(system_failure, killed_owner_doubles_nothing_and_its_keys_move) {
    auto& victim = *deployment->hosts_of("barriers").front();
    std::map<std::string, std::vector<std::string>> outcomes;
    std::thread sender([&] { outcomes = send_orders(std::chrono::seconds(10)); });
    harness::pause_for(std::chrono::seconds(1));
    victim.node->kill(); // its target continues with the requests that it received
    sender.join();
    check_outcomes(outcomes, outcomes.size() / 4);
    EXPECT_TRUE(harness::wait_until([&] { return deployment->has_ready_orders("barriers", 2); },
                                    std::chrono::seconds(10)));
}

TEST_F(system_failure, paused_owner_does_not_run_orders_after_its_lease) {
    auto& victim = *deployment->hosts_of("barriers").front();
    std::map<std::string, std::vector<std::string>> outcomes;
    std::thread sender([&] { outcomes = send_orders(std::chrono::seconds(14)); });
    harness::pause_for(std::chrono::seconds(1));
    victim.node->send(SIGSTOP);
    harness::pause_for(std::chrono::seconds(8)); // longer than suspicion, lease and takeover take
    victim.node->send(SIGCONT);
    sender.join();
    check_outcomes(outcomes, outcomes.size() / 4);
    EXPECT_TRUE(wait_for_owners(3)) << describe_owners(); // it becomes an owner again
}

TEST_F(system_failure, log_outage_does_not_stop_orders) {
    deployment->set_log_faults(R"({"outage": true})");
    harness::pause_for(std::chrono::seconds(3)); // longer than the lease of 2 s
    const auto outcomes = send_orders(std::chrono::seconds(2));
    check_outcomes(outcomes, outcomes.size());
    deployment->set_log_faults("{}");
}

TEST_F(system_failure, publishing_in_an_outage_is_refused_and_nothing_reverts) {
    deployment->set_log_faults(R"({"outage": true})");
    const auto refused = deployment->publish(entry(), chain_configuration(1'500), 1, "in-outage");
    EXPECT_EQ(refused.status, 503) << refused.body;
    // A node that starts now learns the configuration from its peers.
    auto& restarted = deployment->hosts().back();
    restarted.node->kill();
    deployment->start_node(restarted);
    EXPECT_TRUE(harness::wait_until(
        [&] {
            const auto status = deployment->admin_get(restarted, "/v1/status");
            return status.is_object() && status.at("configuration_version").to_number<int>() == 1;
        },
        std::chrono::seconds(10)));
    deployment->set_log_faults("{}");
}

TEST_F(system_failure, lost_confirmation_publishes_once) {
    deployment->set_log_faults(R"({"lose_confirmations": 1})");
    const auto published =
        deployment->publish(entry(), chain_configuration(1'500), 1, "lost-confirmation");
    EXPECT_EQ(published.status, 200) << published.body;
    const auto shown = deployment->admin_get(entry(), "/v1/configuration");
    EXPECT_EQ(shown.at("version").to_number<int>(), 2);
    EXPECT_EQ(shown.at("id").as_string(), "lost-confirmation");
}

TEST_F(system_failure, racing_operators_one_wins) {
    net::response one;
    net::response two;
    std::thread first([&] {
        one = deployment->publish(deployment->hosts()[0], chain_configuration(1'500), 1, "one");
    });
    std::thread second([&] {
        two = deployment->publish(deployment->hosts()[3], chain_configuration(1'600), 1, "two");
    });
    first.join();
    second.join();
    EXPECT_EQ(std::min(one.status, two.status), 200);
    EXPECT_EQ(std::max(one.status, two.status), 409);
    const auto& loser = one.status == 409 ? one : two;
    const std::string winner = one.status == 200 ? "\"id\":\"one\"" : "\"id\":\"two\"";
    EXPECT_NE(loser.body.find(winner), std::string::npos) << loser.body;
    EXPECT_TRUE(harness::wait_until([&] { return deployment->has_converged(2, 5); },
                                    std::chrono::seconds(5)));
}

TEST_F(system_failure, all_hosts_replaced_find_each_other_by_the_log) {
    for (auto& one : deployment->hosts()) {
        one.node->kill();
    }
    for (auto& one : deployment->hosts()) {
        deployment->start_node(one);
    }
    EXPECT_TRUE(harness::wait_until([&] { return deployment->has_converged(1, 5); },
                                    std::chrono::seconds(20)));
    EXPECT_TRUE(wait_for_owners(3));
    // New owners answer keys issued up to twice the clock bound after their start with "unknown".
    harness::pause_for(std::chrono::milliseconds(1'100));
    const auto result =
        send_request(entry(), "POST", "/barriers/orders", "x", {{"idempotency-key", make_key()}});
    EXPECT_EQ(outcome_of(result), "completed")
        << result.answer.body << describe_owners() << "\nnow " << wall_time().count();
}
