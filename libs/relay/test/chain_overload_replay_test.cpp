// Replays the load of a deployment whose deepest service is overloaded on the decisions alone:
// admission at the targets, choice of targets, and the levels that callers hear of.

#include "lavenderhoist/admission/controller.hpp"
#include "lavenderhoist/mesh/placement.hpp"
#include "lavenderhoist/relay/known_target.hpp"

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <variant>
#include <vector>

namespace lavenderhoist::relay {
namespace {

using target_list = std::vector<std::shared_ptr<known_target>>;
using level_rule = std::function<admission::priority(const target_list&, time_point)>;

const std::string route = "route";
constexpr int deep_slots = 36;
constexpr int calls_per_chain = 4;
constexpr std::size_t middle_nodes = 30;
constexpr std::size_t entries = 60;
constexpr int low_rank = 5;
constexpr duration call_timeout = milliseconds(700);
constexpr duration chain_timeout = milliseconds(1'500);

target_list make_known_targets(std::size_t count, int slots) {
    target_list targets;
    for (std::size_t i = 0; i < count; ++i) {
        mesh::host_record record;
        record.id = std::to_string(i);
        record.state = mesh::target_state::ready;
        record.slots = slots;
        targets.push_back(
            std::make_shared<known_target>(record, mesh::distance::remote_data_centre));
    }
    return targets;
}

/** The middle of the chain: calls the deepest service, and reports its level to the entries. */
struct middle_node {
    target_list deep_targets;
    mesh::placement placement;
};

/** One run of the deployment: entries, nodes in the middle, and the targets of the deepest service,
 * which have unequal speeds. */
class deployment {
public:
    deployment(double chains_per_ms, level_rule rule)
        : chains_per_ms_(chains_per_ms), rule_(std::move(rule)) {
        for (const double speed : {0.33, 0.5, 0.5, 0.5, 0.5, 1.0, 1.0}) {
            controllers_.emplace_back(deep_slots);
            controllers_.back().assume_warm();
            service_times_.push_back(
                std::chrono::duration_cast<duration>(milliseconds(30) / speed));
        }
        for (std::size_t i = 0; i < middle_nodes; ++i) {
            middles_.push_back(
                {make_known_targets(controllers_.size(), deep_slots), mesh::placement(i + 1)});
        }
        for (std::size_t i = 0; i < entries; ++i) {
            entries_.push_back(make_known_targets(middle_nodes, 42));
        }
    }

    void run(duration length) {
        const auto end = now_ + length;
        while (now_ < end) {
            now_ += milliseconds(1);
            for (auto due = events_.begin(); due != events_.end() && due->first <= now_;
                 due = events_.begin()) {
                const auto work = std::move(due->second);
                events_.erase(due);
                work();
            }
            std::poisson_distribution<int> arrivals(chains_per_ms_);
            for (int i = arrivals(random_); i > 0; --i) {
                offer_chain();
            }
            if (++ticks_ % 100 == 0) {
                for (std::size_t i = 0; i < controllers_.size(); ++i) {
                    apply(i, controllers_[i].on_window(now_));
                }
            }
        }
    }

    int started() const noexcept { return started_; }
    int finished() const noexcept { return finished_; }
    int refused() const noexcept { return refused_; }

private:
    struct chain {
        std::size_t middle;
        int importance;
        int calls_left;
        time_point deadline;
    };
    using chain_ptr = std::shared_ptr<chain>;

    void after(duration delay, std::function<void()> work) {
        events_.emplace(now_ + delay, std::move(work));
    }

    /** As an entry does: a target that it has not heard of has the level of the service. */
    void offer_chain() {
        auto& known = entries_[random_() % entries];
        const int importance = admission::make_priority(low_rank, random_());
        const auto index = random_() % middle_nodes;
        const auto level = known[index]->known_level(route, now_);
        const bool is_refused = importance < level.value_or(rule_(known, now_));
        const auto reported = report_of(middles_[index]);
        known[index]->on_report(route, reported, now_);
        if (is_refused || importance < reported.level) {
            ++refused_;
            return;
        }
        ++started_;
        call_next(std::make_shared<chain>(
            chain{index, importance, calls_per_chain, now_ + chain_timeout}));
    }

    load_report report_of(const middle_node& node) const {
        // A node that has just made no call knows no level.
        return {42, 5, rule_(node.deep_targets, now_), milliseconds(300)};
    }

    void call_next(const chain_ptr& which) {
        if (which->calls_left == 0) {
            ++finished_;
            return;
        }
        auto& node = middles_[which->middle];
        std::vector<mesh::candidate> candidates;
        for (const auto& target : node.deep_targets) {
            candidates.push_back(target->option(route, now_));
        }
        const auto index = node.placement.choose(candidates, admission::closed_level);
        ASSERT_TRUE(index);
        node.deep_targets[*index]->on_sent();
        const auto id = ++last_id_;
        calls_[id] = {which, *index};
        const auto deadline = std::min(now_ + call_timeout, which->deadline);
        apply(*index,
              controllers_[*index].on_arrival({id, which->importance, true, deadline}, now_));
    }

    void apply(std::size_t target, const std::vector<admission::decision>& decisions) {
        for (const auto& each : decisions) {
            if (const auto* const run = std::get_if<admission::admitted>(&each)) {
                std::uniform_real_distribution<double> spread(0.5, 1.5);
                const auto time = service_times_[target] * spread(random_);
                after(std::chrono::duration_cast<duration>(time), [this, target, id = run->id] {
                    const auto next =
                        controllers_[target].on_end(id, admission::completion::answered, now_);
                    end_call(target, id, true);
                    apply(target, next);
                });
            } else if (const auto* const no = std::get_if<admission::refused>(&each)) {
                end_call(target, no->id, false);
            }
        }
    }

    void end_call(std::size_t target, std::uint64_t id, bool is_answered) {
        const auto found = calls_.find(id);
        if (found == calls_.end()) {
            return;
        }
        const auto [which, index] = found->second;
        calls_.erase(found);
        const auto& controller = controllers_[target];
        auto& known = *middles_[which->middle].deep_targets[index];
        known.health().on_answer();
        known.on_report(route,
                        {controller.limit(), controller.in_flight() + controller.waiting(),
                         controller.level(), controller.service_time()},
                        now_);
        if (is_answered && now_ < which->deadline) {
            --which->calls_left;
            after(milliseconds(1), [this, which = which] { call_next(which); });
        }
    }

    double chains_per_ms_;
    level_rule rule_;
    std::mt19937_64 random_{20261204};
    time_point now_{std::chrono::hours(1)};
    int ticks_{0};
    std::multimap<time_point, std::function<void()>> events_;
    std::vector<admission::controller> controllers_;
    std::vector<duration> service_times_;
    std::vector<middle_node> middles_;
    std::vector<target_list> entries_;
    std::map<std::uint64_t, std::pair<chain_ptr, std::size_t>> calls_;
    std::uint64_t last_id_{0};
    int started_{0};
    int finished_{0};
    int refused_{0};
};

admission::priority lowest_level(const target_list& targets, time_point now) {
    std::optional<admission::priority> lowest;
    for (const auto& target : targets) {
        const auto level = target->known_level(route, now);
        lowest = level ? std::min(lowest.value_or(*level), *level) : lowest;
    }
    return lowest.value_or(admission::open_level);
}

// A low estimate: the targets finish about 4,900 calls a second, or 1,200 chains of four.
constexpr double capacity_per_ms = 1.1;

TEST(chain_overload_replay, at_twice_the_capacity_most_started_chains_finish) {
    deployment replay(capacity_per_ms * 2, [](const target_list& targets, time_point now) {
        return median_level(targets, route, now);
    });
    replay.run(std::chrono::seconds(3));
    const int started_before = replay.started();
    const int finished_before = replay.finished();
    replay.run(std::chrono::seconds(10));
    const int started = replay.started() - started_before;
    const int finished = replay.finished() - finished_before;
    RecordProperty("started", started);
    RecordProperty("finished", finished);
    EXPECT_GE(finished, started * 0.75);
    EXPECT_GE(finished, 0.75 * capacity_per_ms * 10'000);
}

TEST(chain_overload_replay, below_the_capacity_nothing_is_refused_for_long) {
    deployment replay(capacity_per_ms * 0.8, [](const target_list& targets, time_point now) {
        return median_level(targets, route, now);
    });
    replay.run(std::chrono::seconds(13));
    EXPECT_GE(replay.finished(), replay.started() * 0.97);
    EXPECT_LE(replay.refused(), replay.started() * 0.03);
}

// Shows what the median is for.
TEST(chain_overload_replay, the_lowest_level_of_many_targets_wastes_more_chains) {
    deployment median(capacity_per_ms * 2, [](const target_list& targets, time_point now) {
        return median_level(targets, route, now);
    });
    deployment lowest(capacity_per_ms * 2, &lowest_level);
    median.run(std::chrono::seconds(10));
    lowest.run(std::chrono::seconds(10));
    RecordProperty("started_by_lowest", lowest.started());
    RecordProperty("finished_by_lowest", lowest.finished());
    const auto wasted = [](const deployment& of) { return of.started() - of.finished(); };
    EXPECT_GE(wasted(lowest), 2 * wasted(median));
}

} // namespace
} // namespace lavenderhoist::relay
