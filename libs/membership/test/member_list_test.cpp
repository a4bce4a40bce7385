// Several member lists that exchange messages, some of which are lost, converge.

#include "lavenderhoist/membership.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>

using namespace lavenderhoist;
using namespace lavenderhoist::membership;

namespace {

constexpr member_list::timing times{std::chrono::seconds(2), std::chrono::seconds(30)};
constexpr std::size_t size = 6;

member make_member(std::size_t index, std::uint64_t process) {
    member made;
    made.id = "node-" + std::to_string(index);
    made.process = process;
    made.incarnation = process;
    made.target = target_info{"service", process, false};
    return made;
}

/** Model of member lists in virtual time; dead members do not exchange messages. */
class simulation {
public:
    explicit simulation(unsigned seed) : random_(seed) {
        for (std::size_t i = 0; i < size; ++i) {
            lists_.emplace_back(make_member(i, 1'000), times, seed + i);
            alive_.push_back(true);
        }
    }

    void exchange(std::size_t from, std::size_t to) {
        if (from == to || !alive_[from] || !alive_[to]) {
            return;
        }
        const auto request = *decode_gossip(encode(lists_[from].make_message(0)));
        lists_[to].merge(request.members, now_);
        auto answer = lists_[to].make_message(0);
        lists_[to].add_differences(request.member_digest, answer);
        lists_[from].merge(decode_gossip(encode(answer))->members, now_);
        if (const auto repair = lists_[from].make_repair(answer.member_digest, 0)) {
            lists_[to].merge(decode_gossip(encode(*repair))->members, now_);
        }
    }

    /** Each live member probes one other member and suspects it if it does not answer. */
    void round(double loss) {
        for (std::size_t i = 0; i < size; ++i) {
            if (!alive_[i]) {
                continue;
            }
            auto id = lists_[i].next_probe();
            const std::size_t other =
                id.empty() ? (i + 1) % size : static_cast<std::size_t>(id.back() - '0');
            const bool is_lost = std::uniform_real_distribution<double>(0, 1)(random_) < loss;
            if (!is_lost && alive_[other]) {
                exchange(i, other);
            } else if (!id.empty() && !is_lost) {
                lists_[i].on_probe_failed(id, now_);
            }
            lists_[i].on_tick(now_);
        }
        now_ += std::chrono::milliseconds(500);
    }

    void kill(std::size_t index) { alive_[index] = false; }

    void restart(std::size_t index, std::uint64_t process) {
        lists_[index] = member_list(make_member(index, process), times, process);
        alive_[index] = true;
    }

    member_list& at(std::size_t index) { return lists_[index]; }
    void suspect(std::size_t accuser, std::size_t suspected) {
        lists_[accuser].on_probe_failed("node-" + std::to_string(suspected), now_);
    }

    /** True if every live member's list has exactly the live members as alive, in their latest
     * process. */
    bool has_converged() const {
        for (std::size_t i = 0; i < size; ++i) {
            for (std::size_t j = 0; alive_[i] && j < size; ++j) {
                const auto* const seen = lists_[i].find("node-" + std::to_string(j));
                const bool is_alive = seen != nullptr && seen->state == liveness::alive &&
                                      seen->process == lists_[j].self().process;
                if (is_alive != alive_[j]) {
                    return false;
                }
            }
        }
        return true;
    }

private:
    std::mt19937 random_;
    time_point now_{std::chrono::hours(1)};
    std::vector<member_list> lists_;
    std::vector<bool> alive_;
};

} // namespace

RC_GTEST_PROP(member_list, agrees_after_kills_restarts_and_false_suspicions,
              (const std::vector<unsigned>& steps)) {
    simulation simulated(static_cast<unsigned>(steps.size()));
    std::uint64_t process = 2'000;
    for (const auto step : steps) {
        const auto index = step / 8 % size;
        switch (step % 8) {
        case 0:
            if (index != 0) { // one member stays, for the others to join through
                simulated.kill(index);
            }
            break;
        case 1:
            simulated.restart(index, process += 1'000);
            break;
        case 2:
            simulated.suspect(index, (index + 1) % size);
            break;
        default:
            simulated.round(0.2);
        }
    }
    for (int i = 0; i < 120 && !simulated.has_converged(); ++i) {
        for (std::size_t joining = 1; joining < size; ++joining) {
            simulated.exchange(joining, 0);
        }
        simulated.round(0);
    }
    RC_ASSERT(simulated.has_converged());
}

// Guards against messages without the sender's own entry: once it had been sent often enough to
// some members, members that the sender contacted later never received it.
TEST(member_list, every_message_contains_its_sender) {
    member_list sender(make_member(1, 1'000), times, 1);
    for (int i = 0; i < 100; ++i) {
        sender.make_message(0);
    }
    member_list receiver(make_member(2, 1'000), times, 2);
    receiver.merge(sender.make_message(0).members, time_point{});
    EXPECT_NE(receiver.find("node-1"), nullptr);
}

TEST(member_list, suspected_member_refutes) {
    member_list one(make_member(1, 1'000), times, 1);
    auto claim = one.self();
    claim.state = liveness::suspect;
    one.merge(std::vector<member>{claim}, time_point{});
    EXPECT_EQ(one.self().state, liveness::alive);
    EXPECT_GT(one.self().incarnation, claim.incarnation);
}

TEST(member_list, draining_target_takes_no_work) {
    member_list one(make_member(1, 1'000), times, 1);
    EXPECT_TRUE(is_accepting_work(one.self()));
    one.update_self(target_info{"service", 1'000, true});
    EXPECT_FALSE(is_accepting_work(one.self()));
}

TEST(gossip_message, malformed_text_is_no_message) {
    EXPECT_FALSE(decode_gossip(""));
    EXPECT_FALSE(decode_gossip("{}"));
    EXPECT_FALSE(decode_gossip(R"({"from":"a","wall":1,"records":0,"digest":[],"members":[]})"));
}
