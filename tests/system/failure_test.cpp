// Kills, pauses, log outages and operator races over separate processes, judged by what the targets
// ran.

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
        where = std::make_unique<harness::deployment>(binaries(), chain_of_two());
        ASSERT_TRUE(where->start());
        ASSERT_TRUE(wait_for_owners(3)) << describe_owners();
    }

    /** What each owner says of itself, for the message of a failure. */
    std::string describe_owners() {
        std::string owners;
        for (const auto* const one : where->hosts_of("barriers")) {
            const auto status = where->admin_get(*one, "/v1/status");
            owners += "\n" + one->id + " " + boost::json::serialize(status.at("orders"));
        }
        return owners;
    }

    bool wait_for_owners(std::size_t count) {
        return harness::wait_until([&] { return where->has_ready_orders("barriers", count); },
                                   std::chrono::seconds(20));
    }

    /** Entries whose node runs. */
    harness::host& entry() { return where->hosts().front(); }

    /** Sends orders, each to a random entry and twice, until `length` has passed. */
    std::map<std::string, std::vector<std::string>> send_orders(duration length) {
        std::map<std::string, std::vector<std::string>> outcomes;
        const auto until = runtime_clock::now() + length;
        std::size_t next = 0;
        while (runtime_clock::now() < until) {
            const auto key = make_key();
            for (int i = 0; i < 2; ++i) {
                const auto& through = where->hosts()[next++ % 2]; // the hosts of permits stay up
                const auto result = ask(through, "POST", "/barriers/orders", "close",
                                        {{"idempotency-key", key}, {"lh-timeout-ms", "700"}});
                outcomes[key].push_back(result.code ? "lost" : outcome_of(result));
            }
        }
        return outcomes;
    }

    /** Checks what callers were told against what the targets recorded. */
    void judge(const std::map<std::string, std::vector<std::string>>& outcomes,
               std::size_t least_completed) {
        std::map<std::string, int> runs;
        for (const auto* const one : where->hosts_of("barriers")) {
            const auto record = where->target_get(*one, "/_stub/record");
            if (!record.is_object()) {
                continue; // it was killed, and its record with it
            }
            for (const auto& execution : record.at("executions").as_array()) {
                ++runs[std::string(execution.at(0).as_string())];
            }
        }
        std::size_t completed = 0;
        for (const auto& [key, told] : outcomes) {
            EXPECT_LE(runs[key], 1) << key;
            const bool all_refused = std::ranges::all_of(
                told, [](const std::string& one) { return one == "refused" || one == "not-run"; });
            if (all_refused) {
                EXPECT_EQ(runs[key], 0) << key << " was said not to have run";
            }
            completed += std::ranges::count(told, "completed") > 0 ? 1U : 0U;
        }
        EXPECT_GE(completed, least_completed) << "of " << outcomes.size();
    }

    std::unique_ptr<harness::deployment> where;
};

TEST_F(system_failure, killed_owner_doubles_nothing_and_its_keys_move) {
    auto& victim = *where->hosts_of("barriers").front();
    std::map<std::string, std::vector<std::string>> outcomes;
    std::thread sender([&] { outcomes = send_orders(std::chrono::seconds(10)); });
    harness::pause_for(std::chrono::seconds(1));
    victim.node->kill(); // its target goes on with what it was given
    sender.join();
    judge(outcomes, outcomes.size() / 4);
    EXPECT_TRUE(harness::wait_until([&] { return where->has_ready_orders("barriers", 2); },
                                    std::chrono::seconds(10)));
}

TEST_F(system_failure, paused_owner_does_not_run_orders_after_its_lease) {
    auto& victim = *where->hosts_of("barriers").front();
    std::map<std::string, std::vector<std::string>> outcomes;
    std::thread sender([&] { outcomes = send_orders(std::chrono::seconds(14)); });
    harness::pause_for(std::chrono::seconds(1));
    victim.node->send(SIGSTOP);
    harness::pause_for(std::chrono::seconds(8)); // past suspicion, lease and take-over
    victim.node->send(SIGCONT);
    sender.join();
    judge(outcomes, outcomes.size() / 4);
    EXPECT_TRUE(wait_for_owners(3)) << describe_owners(); // it is taken back
}

TEST_F(system_failure, log_outage_does_not_stop_orders) {
    where->set_log_faults(R"({"outage": true})");
    harness::pause_for(std::chrono::seconds(3)); // longer than the lease of 2 s
    const auto outcomes = send_orders(std::chrono::seconds(2));
    judge(outcomes, outcomes.size());
    where->set_log_faults("{}");
}

TEST_F(system_failure, publishing_in_an_outage_is_refused_and_nothing_reverts) {
    where->set_log_faults(R"({"outage": true})");
    const auto refused = where->publish(entry(), chain_configuration(1'500), 1, "in-outage");
    EXPECT_EQ(refused.status, 503) << refused.body;
    // A node that starts now learns the configuration from its peers.
    auto& restarted = where->hosts().back();
    restarted.node->kill();
    where->start_node(restarted);
    EXPECT_TRUE(harness::wait_until(
        [&] {
            const auto status = where->admin_get(restarted, "/v1/status");
            return status.is_object() && status.at("configuration_version").to_number<int>() == 1;
        },
        std::chrono::seconds(10)));
    where->set_log_faults("{}");
}

TEST_F(system_failure, lost_confirmation_publishes_once) {
    where->set_log_faults(R"({"lose_confirmations": 1})");
    const auto published =
        where->publish(entry(), chain_configuration(1'500), 1, "lost-confirmation");
    EXPECT_EQ(published.status, 200) << published.body;
    const auto shown = where->admin_get(entry(), "/v1/configuration");
    EXPECT_EQ(shown.at("version").to_number<int>(), 2);
    EXPECT_EQ(shown.at("id").as_string(), "lost-confirmation");
}

TEST_F(system_failure, racing_operators_one_wins) {
    net::response one;
    net::response two;
    std::thread first(
        [&] { one = where->publish(where->hosts()[0], chain_configuration(1'500), 1, "one"); });
    std::thread second(
        [&] { two = where->publish(where->hosts()[3], chain_configuration(1'600), 1, "two"); });
    first.join();
    second.join();
    EXPECT_EQ(std::min(one.status, two.status), 200);
    EXPECT_EQ(std::max(one.status, two.status), 409);
    const auto& loser = one.status == 409 ? one : two;
    const std::string winner = one.status == 200 ? "\"id\":\"one\"" : "\"id\":\"two\"";
    EXPECT_NE(loser.body.find(winner), std::string::npos) << loser.body;
    EXPECT_TRUE(
        harness::wait_until([&] { return where->has_converged(2, 5); }, std::chrono::seconds(5)));
}

TEST_F(system_failure, all_hosts_replaced_find_each_other_by_the_log) {
    for (auto& one : where->hosts()) {
        one.node->kill();
    }
    for (auto& one : where->hosts()) {
        where->start_node(one);
    }
    EXPECT_TRUE(
        harness::wait_until([&] { return where->has_converged(1, 5); }, std::chrono::seconds(20)));
    EXPECT_TRUE(wait_for_owners(3));
    // New owners answer keys issued up to twice the clock bound after their start with "unknown".
    harness::pause_for(std::chrono::milliseconds(1'100));
    const auto result =
        ask(entry(), "POST", "/barriers/orders", "x", {{"idempotency-key", make_key()}});
    EXPECT_EQ(outcome_of(result), "completed")
        << result.answer.body << describe_owners() << "\nnow " << wall_time().count();
}
